/**
 * The catalog of log events. A number is never reused for another meaning.
 * `docs/reference/events.md` is generated from this list; a test checks that
 * both match.
 */
export const EVENTS = {
  daemonStarting: { number: 1001, level: "info", text: "daemon is starting" },
  daemonReady: { number: 1002, level: "info", text: "daemon is ready" },
  daemonStopping: { number: 1003, level: "info", text: "daemon is stopping" },
  daemonStopped: { number: 1004, level: "info", text: "daemon has stopped" },
  portBusy: { number: 1005, level: "error", text: "port cannot be opened" },
  requestsCut: {
    number: 1006,
    level: "error",
    text: "shutdown timeout passed with requests still in flight",
  },
  handOverFailed: {
    number: 1007,
    level: "warn",
    text: "hand-over step of the shutdown failed",
  },
  connectionLimitReached: {
    number: 1008,
    level: "warn",
    text: "connections of clients were closed to stay within their limit",
  },
  configApplied: {
    number: 2001,
    level: "info",
    text: "configuration is in force",
  },
  configRefused: {
    number: 2002,
    level: "error",
    text: "configuration was rejected",
  },
  configUnreachable: {
    number: 2003,
    level: "warn",
    text: "configuration cannot be read from the platform",
  },
  configPartsMissing: {
    number: 2004,
    level: "warn",
    text: "no source has the parts of a newer configuration yet",
  },
  vmListApplied: { number: 3001, level: "info", text: "VM list changed" },
  vmListUnreachable: {
    number: 3002,
    level: "warn",
    text: "VM list cannot be read",
  },
  memberChanged: {
    number: 3003,
    level: "info",
    text: "state of a daemon changed",
  },
  targetChanged: {
    number: 3004,
    level: "info",
    text: "state of a target changed",
  },
  zoneCut: {
    number: 3005,
    level: "warn",
    text: "no daemon of the zone responds",
  },
  zoneHealed: {
    number: 3006,
    level: "info",
    text: "daemons of the zone respond again",
  },
  pauseNoticed: {
    number: 3007,
    level: "warn",
    text: "process was paused and rejoins the membership",
  },
  peerRefused: {
    number: 3008,
    level: "warn",
    text: "connection between daemons was rejected",
  },
  peerMalformed: {
    number: 3009,
    level: "error",
    text: "daemon sent a malformed message",
  },
  peerHandlerFailed: {
    number: 3010,
    level: "error",
    text: "handling a message from another daemon failed",
  },
  requestFailed: {
    number: 4001,
    level: "warn",
    text: "request did not complete",
  },
  targetFailed: {
    number: 4002,
    level: "warn",
    text: "target failed a request",
  },
  placeWaitLong: {
    number: 4010,
    level: "warn",
    text: "request has waited long for capacity at a target",
  },
  answerRefused: {
    number: 4003,
    level: "error",
    text: "target sent the response of another request",
  },
  claimWriteFailed: {
    number: 5001,
    level: "warn",
    text: "platform did not confirm a write of claims",
  },
  claimLost: {
    number: 5002,
    level: "error",
    text: "claim was changed by another writer while its call was running",
  },
  targetCrashed: {
    number: 5101,
    level: "warn",
    text: "target crashed with requests in flight",
  },
  requestQuarantined: {
    number: 5102,
    level: "error",
    text: "request that crashes targets was quarantined",
  },
  forwardingSent: {
    number: 6001,
    level: "info",
    text: "request was sent to a target",
  },
  forwardingTryFailed: {
    number: 6002,
    level: "warn",
    text: "attempt of a request at a target failed",
  },
  forwardingEnded: {
    number: 6003,
    level: "info",
    text: "request has ended",
  },
  forwardingRefused: {
    number: 6004,
    level: "warn",
    text: "request was rejected before it was sent",
  },
  forwardingClientError: {
    number: 6005,
    level: "warn",
    text: "client sent an invalid HTTP request",
  },
  knowledgeApplied: {
    number: 6101,
    level: "info",
    text: "routes of a configuration are in force",
  },
  olderConfigIgnored: {
    number: 6121,
    level: "info",
    text: "store or another daemon has an older configuration than in force",
  },
  storeRestored: {
    number: 6122,
    level: "warn",
    text: "store came back from an older copy",
  },
  storeSourceChanged: {
    number: 6123,
    level: "info",
    text: "daemon begins or ceases to follow the store itself",
  },
  largeValueMissing: {
    number: 6124,
    level: "info",
    text: "large value could not be read from the store; a relay is asked",
  },
  knowledgeRefused: {
    number: 6102,
    level: "error",
    text: "record in the store cannot be parsed",
  },
  rosterChanged: {
    number: 6103,
    level: "info",
    text: "set of available targets changed",
  },
  storeLost: {
    number: 6104,
    level: "warn",
    text: "store no longer responds",
  },
  watchReopened: {
    number: 6111,
    level: "info",
    text: "watch missed changes of the store and is reopened",
  },
  quarantineFailed: {
    number: 6112,
    level: "warn",
    text: "quarantine of a request could not be written to the store",
  },
  storeRegained: {
    number: 6105,
    level: "info",
    text: "store responds again",
  },
  peerKnowledgeTaken: {
    number: 6106,
    level: "info",
    text: "newer data was received from another daemon",
  },
  peerUnreachable: {
    number: 6107,
    level: "warn",
    text: "request to another daemon failed",
  },
  registrationFailed: {
    number: 6108,
    level: "warn",
    text: "registration of this daemon in the store failed",
  },
  settingsReloaded: {
    number: 6109,
    level: "info",
    text: "settings file was reloaded",
  },
  settingsRefused: {
    number: 6110,
    level: "error",
    text: "settings file could not be reloaded",
  },
  overloadAnnounced: {
    number: 6113,
    level: "info",
    text: "target reported a load far above the load bound",
  },
  overloadLearned: {
    number: 6114,
    level: "info",
    text: "another daemon announced an overloaded target",
  },
  partsSuspected: {
    number: 6115,
    level: "warn",
    text: "target crashed before it responded to requests with these parts",
  },
  partQuarantined: {
    number: 6116,
    level: "error",
    text: "prompt part that crashes targets is quarantined",
  },
  partReleased: {
    number: 6117,
    level: "warn",
    text: "prompt part proved sound and is no longer quarantined",
  },
  limitNamed: {
    number: 6118,
    level: "info",
    text: "target names another limit of its requests, or none",
  },
  limitLearned: {
    number: 6119,
    level: "info",
    text: "another daemon announced the limit of a target",
  },
  permitDenied: {
    number: 6120,
    level: "info",
    text: "request does not go to a target, whose limit is used up",
  },
  heldBytesEvicted: {
    number: 6130,
    level: "warn",
    text: "held bytes exceeded their budget and were dropped",
  },
  evacuationChanged: {
    number: 6131,
    level: "warn",
    text: "set of evacuated zones changed; their targets get no requests",
  },
  targetTurnedCold: {
    number: 6132,
    level: "info",
    text: "target in use turned cold; permits of it have a limit",
  },
  targetContended: {
    number: 6140,
    level: "info",
    text: "slots of a target may run out, so that requests ask for a slot",
  },
  slotWaitEnded: {
    number: 6141,
    level: "info",
    text: "wait of a request for a slot of a target has ended",
  },
  linesDropped: {
    number: 6201,
    level: "warn",
    text: "log lines were dropped to limit the volume",
  },
  internalFault: {
    number: 9001,
    level: "error",
    text: "unexpected error in the daemon",
  },
} as const;

/** The name of a log event. */
export type EventName = keyof typeof EVENTS;
