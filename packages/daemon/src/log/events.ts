/**
 * The catalogue of log events. A number is never used again for another
 * meaning; `docs/reference/events.md` lists the same numbers, and a test holds
 * the two together.
 */
export const EVENTS = {
  daemonStarting: { number: 1001, level: "info", text: "daemon is starting" },
  daemonReady: { number: 1002, level: "info", text: "daemon is ready" },
  daemonStopping: { number: 1003, level: "info", text: "daemon is stopping" },
  daemonStopped: { number: 1004, level: "info", text: "daemon has stopped" },
  portBusy: { number: 1005, level: "error", text: "a port cannot be opened" },
  requestsCut: {
    number: 1006,
    level: "error",
    text: "shutdown limit reached with requests still running",
  },
  handOverFailed: {
    number: 1007,
    level: "warn",
    text: "a step of the shutdown's hand-over failed",
  },
  configApplied: {
    number: 2001,
    level: "info",
    text: "configuration is in force",
  },
  configRefused: {
    number: 2002,
    level: "error",
    text: "configuration was refused",
  },
  configUnreachable: {
    number: 2003,
    level: "warn",
    text: "configuration cannot be read from the platform",
  },
  configPartsMissing: {
    number: 2004,
    level: "warn",
    text: "no source has the parts of a later configuration yet",
  },
  vmListApplied: { number: 3001, level: "info", text: "VM list has changed" },
  vmListUnreachable: {
    number: 3002,
    level: "warn",
    text: "VM list cannot be read",
  },
  memberChanged: {
    number: 3003,
    level: "info",
    text: "state of a daemon has changed",
  },
  targetChanged: {
    number: 3004,
    level: "info",
    text: "state of a target has changed",
  },
  zoneCut: { number: 3005, level: "warn", text: "zone cannot be heard" },
  zoneHealed: { number: 3006, level: "info", text: "zone is heard again" },
  pauseNoticed: {
    number: 3007,
    level: "warn",
    text: "this process was paused and rejoins",
  },
  peerRefused: {
    number: 3008,
    level: "warn",
    text: "connection between daemons was refused",
  },
  peerMalformed: {
    number: 3009,
    level: "error",
    text: "daemon sent what cannot be read",
  },
  peerHandlerFailed: {
    number: 3010,
    level: "error",
    text: "message of a daemon could not be handled",
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
    text: "request has waited long for a place at a target",
  },
  answerRefused: {
    number: 4003,
    level: "error",
    text: "target sent an answer that belongs to another request",
  },
  claimWriteFailed: {
    number: 5001,
    level: "warn",
    text: "a write of claims was not confirmed by the platform",
  },
  claimLost: {
    number: 5002,
    level: "error",
    text: "a claim was changed by another while its call was running",
  },
  targetCrashed: {
    number: 5101,
    level: "warn",
    text: "a target crashed with requests running",
  },
  requestQuarantined: {
    number: 5102,
    level: "error",
    text: "a request that crashes targets is refused from now on",
  },
  forwardingSent: {
    number: 6001,
    level: "info",
    text: "request was sent to a target",
  },
  forwardingTryFailed: {
    number: 6002,
    level: "warn",
    text: "try of a request at a target failed",
  },
  forwardingEnded: {
    number: 6003,
    level: "info",
    text: "request has its final answer",
  },
  forwardingRefused: {
    number: 6004,
    level: "warn",
    text: "request was refused before it was sent",
  },
  forwardingClientError: {
    number: 6005,
    level: "warn",
    text: "client sent what is no request",
  },
  knowledgeApplied: {
    number: 6101,
    level: "info",
    text: "routes of a configuration are in force",
  },
  knowledgeRefused: {
    number: 6102,
    level: "error",
    text: "record of the store cannot be read",
  },
  rosterChanged: {
    number: 6103,
    level: "info",
    text: "targets that may be sent work have changed",
  },
  storeLost: {
    number: 6104,
    level: "warn",
    text: "store no longer answers",
  },
  watchReopened: {
    number: 6111,
    level: "info",
    text: "watch has missed changes of the store and is opened anew",
  },
  quarantineFailed: {
    number: 6112,
    level: "warn",
    text: "a request that crashes targets could not be told to all daemons",
  },
  storeRegained: {
    number: 6105,
    level: "info",
    text: "store answers again",
  },
  peerKnowledgeTaken: {
    number: 6106,
    level: "info",
    text: "later knowledge was taken from another daemon",
  },
  peerUnreachable: {
    number: 6107,
    level: "warn",
    text: "another daemon could not be asked",
  },
  registrationFailed: {
    number: 6108,
    level: "warn",
    text: "registration of this daemon in the store failed",
  },
  settingsReloaded: {
    number: 6109,
    level: "info",
    text: "settings file was read again",
  },
  settingsRefused: {
    number: 6110,
    level: "error",
    text: "settings file could not be read again",
  },
  linesDropped: {
    number: 6201,
    level: "warn",
    text: "log lines were left out to bound their volume",
  },
  internalFault: {
    number: 9001,
    level: "error",
    text: "unexpected fault inside the daemon",
  },
} as const;

/** The name of a log event. */
export type EventName = keyof typeof EVENTS;
