/**
 * `marigoldford call` and `marigoldford status`.
 */
import { MarigoldfordClient } from "@marigoldford/client/client";
import type { ClientCall, ClientFailure } from "@marigoldford/client/client";
import { HttpClient } from "@marigoldford/client/http_client";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

const STATUS_TIMEOUT_MILLISECONDS = 2_000;

/** Sends one call as a caller would. */
export async function runCall(
  call: ClientCall & { readonly entries: readonly string[] },
  output: Output,
): Promise<ExitCode> {
  const client = new MarigoldfordClient({ seeds: call.entries });
  const answer = await client.call(call);
  client.close();
  if (answer.isOk()) {
    const { status, entry, key, body } = answer.value;
    const text = body.toString();
    output.result(
      { outcome: "answered", status, entry, key, body: text },
      () =>
        `${status} from ${entry}${key === undefined ? "" : `, key ${key}`}\n` +
        text,
    );
    return EXIT_CODES.ok;
  }
  output.result(answer.error, () => describeFailure(answer.error));
  return exitCodeOf(answer.error);
}

function describeFailure(failure: ClientFailure): string {
  if (failure.kind === "no-entry") {
    return `No entry answers at ${failure.asked.join(", ")}; ` +
      "give addresses of running entries with --entry";
  }
  const key = failure.key === undefined ? "" : `, key ${failure.key}`;
  return `${failure.kind}: ${failure.reason}: ${failure.detail}${key}`;
}

function exitCodeOf(failure: ClientFailure): ExitCode {
  if (failure.kind === "no-entry") return EXIT_CODES.unreachable;
  return failure.kind === "unknown" ? EXIT_CODES.unknown : EXIT_CODES.failure;
}

/** Prints what an entry reports of itself. */
export async function showStatus(
  address: string,
  output: Output,
): Promise<ExitCode> {
  const httpClient = new HttpClient();
  const answer = await httpClient.send(address, {
    method: "GET",
    path: "/marigoldford/status",
    headers: {},
    body: undefined,
    timeoutMilliseconds: STATUS_TIMEOUT_MILLISECONDS,
  });
  httpClient.close();
  if (answer.isErr()) {
    output.message(
      `Entry ${address} does not answer: ${answer.error.detail}; ` +
        "give the call address of a running entry with --entry",
    );
    return EXIT_CODES.unreachable;
  }
  const text = answer.value.body.toString();
  output.result(JSON.parse(text), () => summarize(JSON.parse(text)));
  return EXIT_CODES.ok;
}

type StatusView = {
  readonly entry: { readonly incarnation: string; readonly state: string };
  readonly platform: {
    readonly isConnected: boolean;
    readonly newestVersion: number;
  };
  readonly intentions: {
    readonly inForce: readonly unknown[];
    readonly refusedRows: readonly {
      readonly intention: string;
      readonly revision: number;
      readonly reason: string;
      readonly inForceRevision: number;
    }[];
  };
  readonly services: readonly {
    readonly service: string;
    readonly backendServers: readonly {
      readonly address: string;
      readonly condition: string;
      readonly ownInFlight: number;
    }[];
  }[];
  readonly peers: readonly {
    readonly callAddress: string;
    readonly state?: string;
  }[];
};

function summarize(status: StatusView): string {
  const { entry, platform, intentions } = status;
  const lines = [
    `entry ${entry.incarnation} is ${entry.state}`,
    `platform ${platform.isConnected ? "answers" : "does not answer"}, ` +
    `newest version ${platform.newestVersion}`,
    `${intentions.inForce.length} intentions in force`,
  ];
  for (const row of intentions.refusedRows) {
    lines.push(
      `refused row: ${row.intention} revision ${row.revision}, ${row.reason}` +
        `, revision ${row.inForceRevision} is in force`,
    );
  }
  for (const { service, backendServers } of status.services) {
    for (const server of backendServers) {
      lines.push(
        `${service} ${server.address} ${server.condition}, ` +
          `${server.ownInFlight} own calls in flight`,
      );
    }
  }
  for (const peer of status.peers) {
    lines.push(`peer ${peer.callAddress} is ${peer.state ?? "unheard"}`);
  }
  return lines.join("\n");
}
