export * from "./body_bytes.ts";
export * from "./byte_holdings.ts";
export * from "./head_cost.ts";
export * from "./held_bytes.ts";
export * from "./held_part.ts";
export * from "./piece_buffer.ts";
export * from "./response_writer.ts";
