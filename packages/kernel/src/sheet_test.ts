import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { RoutingTable } from "./routing_table.ts";
import { readSheet } from "./sheet.ts";

const SEED = 20_261_204;
const SOURCE = { valueName: "sheet/main", platformVersion: 3 };
const HEADER = "intention,revision,kind,status,service,host,method," +
  "path_prefix,address,failure_domain,slots,connections,name,value";

function read(...lines: readonly string[]) {
  return readSheet([HEADER, ...lines].join("\n"), SOURCE)._unsafeUnwrap();
}

describe("reading a sheet", () => {
  test("keeps valid rows and reports each invalid cell with its line", () => {
    const { rows, faults } = read(
      "rule,1,service-rule,,desk,,,/desk,,,,,,",
      "server,0,backend-server,,desk,,,,localhost:80,a,2,250,,",
      "odd,1,oracle,,,,,,,,,,,",
    );
    expect(rows.map(({ intention }) => intention)).toEqual(["rule"]);
    expect(faults.map(({ line, column, given }) => [line, column, given]))
      .toEqual([
        [3, "revision", "0"],
        [3, "address", "localhost:80"],
        [4, "kind", "oracle"],
      ]);
  });

  test("rejects a header without the required columns", () => {
    const failure = readSheet("title,rev\n1,2\n", SOURCE)._unsafeUnwrapErr();
    expect(failure).toMatchObject({
      kind: "header-malformed",
      missing: ["intention", "revision", "kind"],
      unknown: ["title", "rev"],
    });
  });

  test("never throws, whatever the text", () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        readSheet(text, SOURCE);
        readSheet(`${HEADER}\n${text}`, SOURCE);
      }),
      { seed: SEED },
    );
  });
});

describe("routing", () => {
  const table = new RoutingTable(
    read(
      "all,1,service-rule,,desk,,,/desk,,,,,,",
      "deep,1,service-rule,,ledger,,,/desk/ledger,,,,,,",
      "stamp,1,protected,,ledger,,GET,/desk/ledger/stamp,,,,,,",
      "gone,1,service-rule,withdrawn,gone,,,/gone,,,,,,",
    ).rows,
  );

  function route(method: string, path: string) {
    const routed = table.route({ host: "any", method, path });
    return [routed?.service.service, routed?.isProtected];
  }

  test("prefers the longest prefix, at segment boundaries", () => {
    expect(route("GET", "/desk/1")).toEqual(["desk", false]);
    expect(route("GET", "/desk/ledger?x=1")).toEqual(["ledger", false]);
    expect(route("GET", "/desktop")).toEqual([undefined, undefined]);
  });

  test("protects unsafe methods and calls that match a protected row", () => {
    expect(route("POST", "/desk/1")).toEqual(["desk", true]);
    expect(route("DELETE", "/desk/ledger/x")).toEqual(["ledger", true]);
    expect(route("GET", "/desk/ledger/stamp/7")).toEqual(["ledger", true]);
  });

  test("ignores withdrawn rows", () => {
    expect(route("GET", "/gone")).toEqual([undefined, undefined]);
  });
});
