/**
 * Tests that entries that start together do not each request the whole fleet
 * from another failure domain.
 */
import { expect, it } from "vitest";
import { tagsToRequest } from "./record_requests.ts";

const TELLER = {
  incarnation: "teller",
  callAddress: "",
  meshAddress: "",
  datagramAddress: "",
  failureDomain: "b",
  state: "serving" as const,
  counter: 1,
};

function request(tagCount: number, failureDomain: string): number[] {
  return tagsToRequest({
    unknownTags: Array.from({ length: tagCount }, (_, index) => index),
    teller: TELLER,
    failureDomain,
    peers: [],
    random: () => 0.5,
  });
}

it("a few records are requested across failure domains", () => {
  expect(new Set(request(120, "a")).size).toBe(16);
});

it("all are requested in the own domain and in a small fleet", () => {
  expect(request(120, "b")).toHaveLength(120);
  expect(request(17, "a")).toHaveLength(17);
});
