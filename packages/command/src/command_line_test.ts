import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { afterAll, describe, expect, test } from "vitest";

const MAIN = fileURLToPath(new URL("../dist/main.js", import.meta.url));
const EXAMPLES = fileURLToPath(new URL("../../../examples", import.meta.url));
const FOLDER = mkdtempSync(join(tmpdir(), "marigoldford-"));

type CommandResult = {
  readonly code: number;
  readonly out: string;
  error: string;
};

function run(...commandArguments: readonly string[]): Promise<CommandResult> {
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [MAIN, ...commandArguments],
      (error, out, err) =>
        resolve({ code: Number(error?.code ?? 0), out, error: err }),
    );
  });
}

function writeTestFile(name: string, text: string): string {
  const path = join(FOLDER, name);
  writeFileSync(path, text);
  return path;
}

describe("the command line", () => {
  afterAll(() => rmSync(FOLDER, { recursive: true }));

  test("explain prints the timeline of a request from several logs", async () => {
    const refusedLine = {
      time: "2026-01-01T00:00:01.000Z",
      event: "request-refused",
      request: "12",
      status: 503,
      reason: "no-room",
      servers: 3,
      waiting: 5,
    };
    const adoptedLine = {
      time: "2026-01-01T00:00:00.500Z",
      event: "configuration-adopted",
      version: 7,
    };
    const log = writeTestFile(
      "a.log",
      `${JSON.stringify(refusedLine)}\n${JSON.stringify(adoptedLine)}\nnoise\n`,
    );
    const explained = await run(
      "explain",
      "12",
      log,
      writeTestFile("b.log", ""),
    );
    expect(explained.code).toBe(0);
    expect(explained.out.indexOf("version=7")).toBeLessThan(
      explained.out.indexOf("status=503"),
    );
    expect(explained.out).toContain("Refused before it ran: no-room");
    expect(explained.out).toContain("1 lines are not of an entry's log");
    expect((await run("explain", "13", log)).code).toBe(1);
    const missing = await run("explain", "12", join(FOLDER, "none.log"));
    expect(missing.code).toBe(3);
    expect(missing.error).toContain("expected a log file");
  });

  test("explain route checks what is given before it asks an entry", async () => {
    const route = ["explain", "route", "/read/x"];
    const entry = ["--entry", "127.0.0.1:9"];
    const wrong: [words: string[], code: number, error: string][] = [
      [route, 2, "Flag --entry is missing"],
      [["explain", "route", ...entry], 2, "missing required args"],
      [
        [...route, "--entry", "x:99999"],
        2,
        'Given --entry "x:99999"; expected',
      ],
      [
        ["explain", "route", "read", ...entry],
        2,
        'Given path "read"; expected',
      ],
      [[...route, ...entry], 3, "127.0.0.1:9 does not answer"],
      [["explain", "--json", "route", "/x", ...entry], 3, "does not answer"],
      [["explain", "12", ...entry], 2, "Unknown option"],
    ];
    for (const [words, code, error] of wrong) {
      const result = await run(...words);
      expect(result.error).toContain(error);
      expect(result.code).toBe(code);
    }
  });

  test("the help of a command shows an example", async () => {
    const { code, out } = await run("call", "--help");
    expect(code).toBe(0);
    expect(out).toContain("marigoldford call /gatecheck");
  });

  test("a wrong flag, a missing flag and an unknown command exit with 2", async () => {
    for (
      const input of [["status", "--entyr", "x"], ["status"], ["frobnicate"]]
    ) {
      const { code, error } = await run(...input);
      expect(code).toBe(2);
      expect(error).toContain("see marigoldford --help");
    }
  });

  test("a missing file and an unreachable entry exit with 3", async () => {
    expect((await run("settings", "check", "nowhere.json")).code).toBe(3);
    const { code, error } = await run("status", "--entry", "127.0.0.1:9");
    expect(code).toBe(3);
    expect(error).toContain("127.0.0.1:9 does not answer");
  });

  test("the daemon does not start with invalid settings", async () => {
    const path = writeTestFile("bad.json", '{"instance":{"callAdress":"x"}}');
    const { code, error } = await run("entry", "--settings", path);
    expect(code).toBe(1);
    expect(error).toContain("instance.callAdress");
    expect(error).toContain("instance.callAddress");
  });

  test("the example settings and sheets of both users pass the checks", async () => {
    for (const user of ["suelas", "wickramasinghe"]) {
      const settings = join(EXAMPLES, user, "entry.json");
      expect((await run("settings", "check", settings)).code).toBe(0);
      const sheet = join(EXAMPLES, user, "sheet.csv");
      expect((await run("sheet", "check", sheet)).code).toBe(0);
    }
  });

  test("diff names rows that would be refused and exits with 1", async () => {
    const head = "intention,revision,kind,address\n";
    const current = writeTestFile(
      "now.csv",
      head + "fix,2,retiring,127.0.0.1:1\n",
    );
    const next = writeTestFile(
      "next.csv",
      head + "fix,1,retiring,127.0.0.1:2\n",
    );
    const { code, out } = await run("sheet", "diff", current, next);
    expect(code).toBe(1);
    expect(out).toContain("refused: fix revision 1 on line 2");
    const json = await run("sheet", "diff", current, next, "--json");
    expect(JSON.parse(json.out).isOk).toBe(false);
  });

  test("sheet explain names the service that a call is routed to", async () => {
    const sheet = join(EXAMPLES, "suelas", "sheet.csv");
    const { code, out } = await run(
      "sheet",
      "explain",
      sheet,
      "/caja/booking",
      "--method",
      "POST",
    );
    expect(code).toBe(0);
    expect(out).toContain("service caja, protected");
  });
});
