/**
 * The client of the platform: reads the values of the configuration service and
 * the list of instances. It never writes.
 *
 * - `GET /values?prefix=P` lists `{name, version, value}` and the newest
 *   version of all values.
 * - `GET /values?prefix=P&after=V&wait=T` is a watch (a long poll): it answers
 *   as soon as a version newer than V exists, or after T milliseconds.
 * - `GET /instances` lists live and leaving instances.
 */
import { Agent, get, type IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import * as Schema from "effect/Schema";
import * as EffectResult from "effect/Result";
import { Logger } from "@marigoldford/logger/logger";

const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

const ValuesSchema = Schema.Struct({
  version: Schema.Int,
  values: Schema.Array(Schema.Unknown),
});

const ValueSchema = Schema.Struct({
  name: Schema.String,
  version: Schema.Int,
  value: Schema.String,
});

const InstancesSchema = Schema.Struct({
  instances: Schema.Array(Schema.Unknown),
});

const InstanceSchema = Schema.Struct({
  address: Schema.String,
  role: Schema.Literals(["entry", "backend-server"]),
  state: Schema.Literals(["live", "leaving"]),
  failureDomain: Schema.String,
  meshAddress: Schema.optionalKey(Schema.String),
});

export type PlatformValues = {
  readonly version: number;
  readonly values: readonly (typeof ValueSchema.Type)[];
};
export type PlatformInstance = typeof InstanceSchema.Type;

export type PlatformFailure =
  | { readonly kind: "platform-unreachable"; readonly detail: string }
  | { readonly kind: "platform-status"; readonly status: number }
  | { readonly kind: "platform-answer-malformed"; readonly detail: string };

export type PlatformClientOptions = {
  readonly baseUrl: string;
  readonly valuePrefix: string;
  readonly timeoutMilliseconds: number;
};

const decodeValues = Schema.decodeUnknownResult(ValuesSchema);
const decodeValue = Schema.decodeUnknownResult(ValueSchema);
const decodeInstances = Schema.decodeUnknownResult(InstancesSchema);
const decodeInstance = Schema.decodeUnknownResult(InstanceSchema);
const LOG = new Logger("platform");

/** Waits for a version newer than `after`. */
type Watch = { readonly after: number; readonly waitMilliseconds: number };

export class PlatformClient {
  readonly #options: PlatformClientOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 4 });
  #reads = 0;

  constructor(options: PlatformClientOptions) {
    this.#options = options;
  }

  /** Number of requests sent so far; a waiting watch counts as one. */
  get reads(): number {
    return this.#reads;
  }

  /** Reads all values; with a watch, waits until a newer version exists. */
  async readValues(
    watch?: Watch,
  ): Promise<Result<PlatformValues, PlatformFailure>> {
    const query = new URLSearchParams({ prefix: this.#options.valuePrefix });
    if (watch !== undefined) {
      query.set("after", String(watch.after));
      query.set("wait", String(watch.waitMilliseconds));
    }
    const waitMilliseconds = watch?.waitMilliseconds ?? 0;
    const body = await this.#getJson(`/values?${query}`, waitMilliseconds);
    if (body.isErr()) return err(body.error);
    const decoded = decodeValues(body.value);
    if (EffectResult.isFailure(decoded)) {
      return err(malformedAnswer(String(decoded.failure)));
    }
    const { version, values } = decoded.success;
    return ok({ version, values: decodeEach(values, decodeValue) });
  }

  async readInstances(): Promise<
    Result<readonly PlatformInstance[], PlatformFailure>
  > {
    const body = await this.#getJson("/instances", 0);
    if (body.isErr()) return err(body.error);
    const decoded = decodeInstances(body.value);
    if (EffectResult.isFailure(decoded)) {
      return err(malformedAnswer(String(decoded.failure)));
    }
    return ok(decodeEach(decoded.success.instances, decodeInstance));
  }

  close(): void {
    this.#agent.destroy();
  }

  #getJson(
    path: string,
    waitMilliseconds: number,
  ): Promise<Result<unknown, PlatformFailure>> {
    this.#reads += 1;
    const timeoutMilliseconds = this.#options.timeoutMilliseconds +
      waitMilliseconds;
    return new Promise((resolve) => {
      const url = new URL(path, this.#options.baseUrl);
      const request = get(url, { agent: this.#agent }, (response) => {
        parseAnswer(response).then(resolve, fail);
      });
      const timer = setTimeout(() => {
        request.destroy(
          new Error(`No answer within ${timeoutMilliseconds} ms`),
        );
      }, timeoutMilliseconds);
      function fail(error: Error): void {
        resolve(err({ kind: "platform-unreachable", detail: error.message }));
      }
      request.once("error", fail);
      request.once("close", () => clearTimeout(timer));
    });
  }
}

/** Leaves out the items that cannot be read; they cost the others nothing. */
function decodeEach<Item>(
  items: readonly unknown[],
  decodeItem: (item: unknown) => EffectResult.Result<Item, unknown>,
): Item[] {
  return items.flatMap((item) => {
    const decoded = decodeItem(item);
    if (EffectResult.isSuccess(decoded)) return [decoded.success];
    LOG.write("item-refused", () => malformedAnswer(String(decoded.failure)));
    return [];
  });
}

async function parseAnswer(
  response: IncomingMessage,
): Promise<Result<unknown, PlatformFailure>> {
  let text = "";
  response.setEncoding("utf8");
  for await (const chunk of response) {
    text += chunk;
    if (text.length > MAXIMUM_ANSWER_BYTES) {
      return err(malformedAnswer(`Longer than ${MAXIMUM_ANSWER_BYTES} bytes`));
    }
  }
  const status = response.statusCode ?? 0;
  if (status !== 200) return err({ kind: "platform-status", status });
  return parseJson(text);
}

function parseJson(text: string): Result<unknown, PlatformFailure> {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err(malformedAnswer(String(error)));
  }
}

function malformedAnswer(detail: string): PlatformFailure {
  return { kind: "platform-answer-malformed", detail: detail.slice(0, 300) };
}
