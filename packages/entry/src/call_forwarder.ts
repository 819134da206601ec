/**
 * Forwards protected calls to the entry that owns their key or holds its
 * owner's table, and answers calls that peers forward to this entry.
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { Refusal } from "@marigoldford/kernel/refusal";
import type { Clock } from "@marigoldford/kernel/types";
import { type BufferedCall, withBody } from "./incoming_call.ts";
import type { IntentionManager } from "./intention_manager.ts";
import type {
  ForwardContent,
  ForwardReply,
  MeshService,
} from "./mesh_service.ts";
import type { EntryMetrics } from "./metrics.ts";
import {
  type ForwardedCall,
  type ProtectedCalls,
  type ProtectedOutcome,
  readKey,
} from "./protected_calls.ts";
import type { ServicePools } from "./service_pools.ts";

export type CallForwarderOptions = {
  readonly clock: Clock;
  readonly metrics: EntryMetrics;
  readonly intentions: IntentionManager;
  readonly pools: ServicePools;
  /** Added to a call's remaining time when waiting for the owner's reply. */
  readonly ownerTimeoutMilliseconds: number;
};

export class CallForwarder {
  readonly #options: CallForwarderOptions;

  constructor(options: CallForwarderOptions) {
    this.#options = options;
  }

  /** Resolves with the other entry's reply, or undefined if none came. */
  async forward(
    forwarded: ForwardedCall,
    mesh: MeshService,
  ): Promise<ProtectedOutcome | undefined> {
    const { call, key, to } = forwarded;
    const { clock, metrics, ownerTimeoutMilliseconds } = this.#options;
    metrics.forwardedCalls += 1;
    const remainingMilliseconds = Math.max(
      0,
      call.deadlineAtMilliseconds - clock(),
    );
    const reply = await mesh.forward(to, {
      content: {
        key: key.text,
        method: call.method,
        path: call.path,
        host: call.host,
        contentType: String(call.headers["content-type"] ?? ""),
        deadlineMilliseconds: remainingMilliseconds,
        body: call.body,
      },
      timeoutMilliseconds: remainingMilliseconds + ownerTimeoutMilliseconds,
    });
    return reply === undefined ? undefined : outcomeOfReply(reply);
  }

  /** Answers a call that a peer forwarded to this entry. */
  async answer(
    content: ForwardContent,
    calls: ProtectedCalls,
  ): Promise<ForwardReply> {
    const call = this.#callOf(content);
    const key = readKey(content.key);
    if ("reason" in key) return { refusal: key };
    const routed = this.#options.intentions.routingTable.route(call);
    const pool = this.#options.pools.poolFor(routed);
    const outcome = await calls.handle({ call, key, pool, caller: undefined });
    return replyOfOutcome(outcome);
  }

  #callOf(content: ForwardContent): BufferedCall {
    const { method, path, host, key, contentType } = content;
    const contentHeaders = contentType === ""
      ? {}
      : { "content-type": contentType };
    const call = {
      id: randomUUID(),
      method,
      path,
      host,
      headers: { host, ...contentHeaders },
      deadlineAtMilliseconds: this.#options.clock() +
        content.deadlineMilliseconds,
      isCallerRetry: false,
      key,
    };
    return withBody(call, Buffer.from(content.body));
  }
}

function outcomeOfReply(reply: ForwardReply): ProtectedOutcome | undefined {
  if (reply.answer !== undefined) {
    return { kind: "answer", answer: reply.answer };
  }
  if (reply.refusal === undefined) return undefined;
  return { kind: "refusal", refusal: reply.refusal as Refusal };
}

function replyOfOutcome(outcome: ProtectedOutcome): ForwardReply {
  switch (outcome.kind) {
    case "answer":
      return { answer: outcome.answer };
    case "refusal":
      return { refusal: { ...outcome.refusal } };
    case "streamed":
      return {};
  }
}
