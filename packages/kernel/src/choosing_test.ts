import { describe, expect, test } from "vitest";
import { agedReportsPolicy } from "./aged_reports_policy.ts";
import { BackendServerState } from "./backend_server_state.ts";
import { selectCandidates } from "./candidates.ts";
import { LeavingServers } from "./leaving_servers.ts";
import { Quarantine } from "./quarantine.ts";
import { TokenBudget } from "./token_budget.ts";

function serverAt(index: number): BackendServerState {
  return new BackendServerState({
    kind: "backend-server",
    service: "desk",
    address: `127.0.0.1:${8_000 + index}`,
    failureDomain: "a",
    slots: 2,
    connections: 250,
  }, -1_000_000);
}

describe("choosing by aged reports", () => {
  test("prefers the least reported work, and forgets old reports", () => {
    const time = { now: 0 };
    const policy = agedReportsPolicy({
      clock: () => time.now,
      random: () => 0.5,
    });
    const servers = [serverAt(0), serverAt(1)];
    servers[0].recordReport(8, 0);
    servers[1].recordReport(1, 0);
    expect(policy.choose(servers).server).toBe(servers[1]);
    time.now = 10_000;
    servers[0].recordReport(3, 10_000);
    const byAge = policy.choose(servers);
    expect(byAge.score).toBeLessThan(3);
  });

  test("own calls in flight count whole", () => {
    const policy = agedReportsPolicy({ clock: () => 0, random: () => 0.5 });
    const servers = [serverAt(0), serverAt(1)];
    servers[0].recordStart(0);
    expect(policy.choose(servers).server).toBe(servers[1]);
  });

  test("a straggler loses to a busier server of usual speed", () => {
    const policy = agedReportsPolicy({ clock: () => 500, random: () => 0.5 });
    const servers = [serverAt(0), serverAt(1), serverAt(2)];
    for (const [index, latency] of [200, 10, 10].entries()) {
      servers[index].recordStart(0);
      servers[index].recordEnd("answered", { startedAt: 0, now: latency });
    }
    servers[1].recordStart(499);
    servers[2].recordStart(499);
    expect(policy.choose(servers).server).not.toBe(servers[0]);
  });
});

describe("candidates", () => {
  const view = {
    now: 0,
    inFlightLimit: () => 2,
    tried: new Set<string>(),
    isSuspect: false,
  };

  test("ejects a failing server, unless too many fail", () => {
    const servers = [serverAt(0), serverAt(1), serverAt(2), serverAt(3)];
    const fail = (server: BackendServerState) => {
      for (let attempt = 0; attempt < 3; attempt++) {
        server.recordStart(0);
        server.recordEnd("broken", { startedAt: 0, now: 0 });
      }
    };
    fail(servers[0]);
    expect(selectCandidates(servers, view).candidates).toHaveLength(3);
    for (const server of servers.slice(1, 3)) fail(server);
    expect(selectCandidates(servers, view).candidates).toHaveLength(4);
  });

  test("keeps a suspect apart from other calls", () => {
    const servers = [serverAt(0), serverAt(1)];
    servers[0].recordStart(0);
    servers[0].suspectsInFlight = 1;
    const plain = selectCandidates(servers, view).candidates;
    expect(plain).toEqual([servers[1]]);
    const suspect = selectCandidates(servers, { ...view, isSuspect: true });
    expect(suspect.candidates).toEqual([servers[1]]);
  });
});

describe("budgets and marks", () => {
  test("retries never exceed their share of the calls by more than one", () => {
    const budget = new TokenBudget({ share: 0.1, maximumTokens: 10 });
    let spent = 0;
    for (let call = 0; call < 1_000; call++) {
      budget.earn();
      if (budget.trySpend()) spent += 1;
    }
    expect(spent).toBeLessThanOrEqual(101);
  });

  test("a source that says all is well clears no other source's mark", () => {
    const time = { now: 0 };
    const leaving = new LeavingServers({
      clock: () => time.now,
      retentionMilliseconds: 1_000,
    });
    expect(leaving.recordSignal("a", { source: "answer" })).toBe(true);
    leaving.setSheet(new Set());
    leaving.setInstanceList(new Set());
    expect(leaving.has("a")).toBe(true);
    time.now = 2_000;
    expect(leaving.has("a")).toBe(false);
  });

  test("two crashes quarantine; an answer acquits a bystander", () => {
    const quarantine = new Quarantine({
      clock: () => 0,
      crashesToQuarantine: 2,
      retentionMilliseconds: 1_000,
      maximumSuspects: 10,
    });
    quarantine.record({ fingerprint: "poison", address: "a" });
    quarantine.record({ fingerprint: "innocent", address: "a" });
    quarantine.clearSuspicion("innocent");
    quarantine.record({ fingerprint: "poison", address: "b" });
    quarantine.record({ fingerprint: "innocent", address: "b" });
    expect(quarantine.isQuarantined("poison")).toBe(true);
    expect(quarantine.isQuarantined("innocent")).toBe(false);
  });
});
