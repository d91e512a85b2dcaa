/** Refuses a request in the shape of an OpenAI error; it has not run. */
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
