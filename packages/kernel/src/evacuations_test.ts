/**
 * Tests that an evacuation ends only if the operator ended it, whatever order
 * messages arrive in and whichever of them leave evacuations out.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type EvacuationChange,
  Evacuations,
  type ToldEvacuation,
} from "./evacuations.ts";

const GRACE_MILLISECONDS = 2_000;

function change(isEvacuated: boolean, revision: number): EvacuationChange {
  return { kind: "evacuation", revision, failureDomain: "a", isEvacuated };
}

function listing(
  { era = 1, revision, changes = [] }: {
    era?: number;
    revision: number;
    changes?: readonly EvacuationChange[];
  },
) {
  return { era, revision, changes, evacuationCount: changes.length };
}

function makeEvacuated(): Evacuations {
  const evacuations = new Evacuations(GRACE_MILLISECONDS);
  const changes = [change(true, 20)];
  evacuations.applyListing(listing({ revision: 21, changes }), 0);
  expect(evacuations.isEvacuated("a")).toBe(true);
  return evacuations;
}

describe("a listing", () => {
  it("without the evacuation ends it, and an older one does not", () => {
    const evacuations = makeEvacuated();
    evacuations.applyListing(listing({ revision: 19 }), 0);
    expect(evacuations.isEvacuated("a")).toBe(true);
    const effects = evacuations.applyListing(listing({ revision: 22 }), 0);
    expect(effects).toEqual([change(false, 22)]);
    expect(evacuations.isEvacuated("a")).toBe(false);
  });

  // Guards against: an older build drops the evacuations of a listing, and an
  // entry that gets it sends requests to the domain again.
  it("that an older build sent or passed on ends no evacuation", () => {
    const evacuations = makeEvacuated();
    const ofOlderBuild = { era: 1, revision: 22, changes: [] };
    evacuations.applyListing(ofOlderBuild, 0);
    evacuations.applyListing({ ...ofOlderBuild, evacuationCount: 1 }, 0);
    expect(evacuations.isEvacuated("a")).toBe(true);
    expect(evacuations.completeTo.revision).toBe(21);
    evacuations.applyListing(listing({ revision: 22 }), 0);
    expect(evacuations.isEvacuated("a")).toBe(false);
  });
});

describe("what peers repeat", () => {
  const told = (isEvacuated: boolean, revision: number) => ({
    era: 1,
    revision,
    failureDomain: "a",
    isEvacuated,
  });

  // Guards against: an entry that missed the end of an evacuation brings it
  // back to entries of which no one knows better.
  it("is told to have ended if an entry that knows all hears of it again", () => {
    const evacuations = makeEvacuated();
    evacuations.applyListing(listing({ revision: 25 }), 0);
    expect(evacuations.told(60_000)).toEqual([]);
    expect(evacuations.merge(told(true, 20), 60_000)).toBe(false);
    expect(evacuations.isEvacuated("a")).toBe(false);
    expect(evacuations.told(60_000)).toEqual([told(false, 25)]);
  });

  it("is news beyond what is known completely, in any order", () => {
    fc.assert(fc.property(
      fc.shuffledSubarray([30, 31, 32, 33, 34], { minLength: 5 }),
      (revisions) => {
        const evacuations = new Evacuations(GRACE_MILLISECONDS);
        evacuations.applyListing(listing({ revision: 25 }), 0);
        expect(evacuations.merge(told(true, 24), 0)).toBe(false);
        for (const revision of revisions) {
          evacuations.merge(told(revision % 2 === 0, revision), 0);
        }
        expect(evacuations.isEvacuated("a")).toBe(true);
      },
    ));
  });

  // Guards against: an entry that missed the end makes it begin once more.
  it("does not bring back an evacuation that has ended", () => {
    const evacuations = makeEvacuated();
    const late = evacuations.told(0);
    evacuations.applyListing(listing({ revision: 22 }), 0);
    for (const evacuation of late) evacuations.merge(evacuation, 1);
    expect(evacuations.isEvacuated("a")).toBe(false);
    expect(evacuations.told(1)).toEqual([told(false, 22)]);
    expect(evacuations.told(40_000)).toEqual([]);
    for (const evacuation of late) evacuations.merge(evacuation, 40_000);
    expect(evacuations.isEvacuated("a")).toBe(false);
  });

  // Guards against: all evacuations up to a revision are taken for known after
  // updates of which some left them out.
  it("is complete only as far as updates follow each other", () => {
    const evacuations = makeEvacuated();
    evacuations.recordComplete(1, 23, 24);
    expect(evacuations.completeTo.revision).toBe(21);
    evacuations.recordComplete(1, 20, 24);
    expect(evacuations.completeTo.revision).toBe(24);
    evacuations.recordComplete(2, 20, 25);
    expect(evacuations.completeTo).toEqual({ era: 1, revision: 24 });
  });
});

describe("a restore from a copy without the evacuation", () => {
  const restored = listing({ era: 2, revision: 15 });

  it("ends it after the grace period unless it is written again", () => {
    const dropped = makeEvacuated();
    const kept = makeEvacuated();
    for (const evacuations of [dropped, kept]) {
      expect(evacuations.applyListing(restored, 100)).toEqual([]);
      evacuations.applyListing(listing({ era: 2, revision: 16 }), 200);
    }
    kept.merge({ ...change(true, 17), era: 2 }, 300);
    for (const evacuations of [dropped, kept]) {
      expect(evacuations.endExpired(99 + GRACE_MILLISECONDS)).toEqual([]);
      expect(evacuations.isEvacuated("a")).toBe(true);
    }
    expect(dropped.endExpired(100 + GRACE_MILLISECONDS))
      .toEqual([change(false, 16)]);
    expect(kept.endExpired(10 * GRACE_MILLISECONDS)).toEqual([]);
    expect(kept.isEvacuated("a")).toBe(true);
  });

  it("is told to entries that start in the grace period, and ends there", () => {
    const old = makeEvacuated();
    old.applyListing(restored, 0);
    const started = new Evacuations(GRACE_MILLISECONDS);
    started.applyListing({ ...restored, changes: old.listed(500) }, 500);
    const tellBy = (told: readonly ToldEvacuation[]) => {
      const evacuations = new Evacuations(GRACE_MILLISECONDS);
      evacuations.applyListing(restored, 500);
      for (const evacuation of told) evacuations.merge(evacuation, 500);
      return evacuations;
    };
    for (const evacuations of [started, tellBy(old.told(500))]) {
      expect(evacuations.isEvacuated("a")).toBe(true);
      evacuations.endExpired(GRACE_MILLISECONDS);
      expect(evacuations.isEvacuated("a")).toBe(false);
    }
  });

  it("with an evacuation that had ended begins it again", () => {
    const evacuations = makeEvacuated();
    evacuations.applyListing(listing({ revision: 22 }), 0);
    const copy = { era: 2, revision: 21, changes: [change(true, 20)] };
    expect(evacuations.applyListing(listing(copy), 0))
      .toEqual([change(true, 20)]);
  });
});
