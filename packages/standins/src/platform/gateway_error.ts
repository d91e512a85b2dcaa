/** The gRPC status codes in the errors of the gateway. */
const GRPC_CODES = {
  "invalid-argument": 3,
  "not-found": 5,
  "resource-exhausted": 8,
} as const;

const HTTP_STATUSES = {
  "invalid-argument": 400,
  "not-found": 404,
  "resource-exhausted": 429,
} as const;

/** An error of the gateway, with the message text of etcd. */
export class GatewayError extends Error {
  readonly kind: keyof typeof GRPC_CODES;

  constructor(kind: keyof typeof GRPC_CODES, message: string) {
    super(message);
    this.kind = kind;
  }

  toResponse(): Response {
    const { message } = this;
    const code = GRPC_CODES[this.kind];
    return Response.json({ error: message, code, message }, {
      status: HTTP_STATUSES[this.kind],
    });
  }
}
