/**
 * Encodes messages with `cbor-x` and validates decoded ones against the schema.
 */
import type { Buffer } from "node:buffer";
import { decode, encode } from "cbor-x";
import * as Schema from "effect/Schema";
import * as EffectResult from "effect/Result";
import { err, ok, type Result } from "neverthrow";
import { MESH_MESSAGE_SCHEMA, type MeshMessage } from "./messages.ts";

export type MessageMalformed = {
  readonly kind: "message-malformed";
  readonly detail: string;
};

const checkMessage = Schema.decodeUnknownResult(MESH_MESSAGE_SCHEMA);
const MAXIMUM_DETAIL_CHARACTERS = 300;

export function encodeMessage(message: MeshMessage): Buffer {
  return encode(message);
}

/** Decodes a payload; anything that does not match the schema is malformed. */
export function decodeMessage(
  payload: Uint8Array,
): Result<MeshMessage, MessageMalformed> {
  const decoded = decodePayload(payload);
  if (decoded.isErr()) return err(decoded.error);
  const checked = checkMessage(decoded.value);
  if (EffectResult.isSuccess(checked)) return ok(checked.success);
  return err(malformed(String(checked.failure)));
}

function decodePayload(
  payload: Uint8Array,
): Result<unknown, MessageMalformed> {
  try {
    return ok(decode(payload));
  } catch (error) {
    return err(malformed(String(error)));
  }
}

function malformed(detail: string): MessageMalformed {
  return {
    kind: "message-malformed",
    detail: detail.slice(0, MAXIMUM_DETAIL_CHARACTERS),
  };
}
