/**
 * Guards against a status of a backend server that is none, such as 000: it
 * must not reach a caller as an answer or end the entry.
 */
import { expect, it } from "vitest";
import { mintKeyOwnedBy } from "@marigoldford/stand_ins/entry_requests";
import { deploy, sendIdempotentCall, sendProtectedCall } from "./deployment.ts";

it.each(["000", "600"])("status %s is not forwarded", async (status) => {
  const fleet = await deploy({ entries: 1, backends: 1 });
  const [entry] = fleet.entries;
  const [{ address }] = fleet.backends;
  await fleet.setBehaviour(address, { rawStatus: status });
  const answers = [
    await sendIdempotentCall(entry, "/desk/odd"),
    await sendProtectedCall(entry, { key: await mintKeyOwnedBy(entry) }),
  ];
  for (const answer of answers) {
    expect([502, 503, 504]).toContain(answer.status);
  }
  await fleet.setBehaviour(address, { rawStatus: "" });
  expect((await sendIdempotentCall(entry, "/desk/well")).status).toBe(200);
  await fleet.stop();
});
