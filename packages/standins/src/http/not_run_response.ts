/**
 * Creates the rejection of a request that was not executed, in the OpenAI error
 * format. The header `x-target-ran: no` states that the request did not run.
 */
export function notRunResponse(
  status: number,
  code: string,
  message: string,
): Response {
  const error = { message, type: code, code, param: null };
  return Response.json({ error }, {
    status,
    headers: { "x-target-ran": "no" },
  });
}
