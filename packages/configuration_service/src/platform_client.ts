/**
 * Reads the platform: values of the configuration service, and the list of
 * instances. Nothing is ever written to it.
 *
 * - `GET /values?prefix=P` lists `{name, version, value}` with the newest
 *   version over all.
 * - `GET /values?prefix=P&after=V&wait=T` is a watch: it answers as soon as
 *   something newer than V exists, or after T milliseconds.
 * - `GET /instances` lists live and leaving instances.
 */
import { Agent, get, type IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import * as Schema from "effect/Schema";
import * as EffectResult from "effect/Result";

const MOST_ANSWER_BYTES = 16 * 1024 * 1024;

const ValuesSchema = Schema.Struct({
  version: Schema.Int,
  values: Schema.Array(
    Schema.Struct({
      name: Schema.String,
      version: Schema.Int,
      value: Schema.String,
    }),
  ),
});

const InstancesSchema = Schema.Struct({
  instances: Schema.Array(
    Schema.Struct({
      address: Schema.String,
      role: Schema.Literals(["entry", "backend-server"]),
      state: Schema.Literals(["live", "leaving"]),
      failureDomain: Schema.String,
      meshAddress: Schema.optionalKey(Schema.String),
    }),
  ),
});

export type PlatformValues = typeof ValuesSchema.Type;
export type PlatformInstance = typeof InstancesSchema.Type["instances"][number];

export type PlatformFailure =
  | { readonly kind: "platform-unreachable"; readonly detail: string }
  | { readonly kind: "platform-status"; readonly status: number }
  | { readonly kind: "platform-answer-malformed"; readonly detail: string };

export type PlatformClientOptions = {
  readonly baseUrl: string;
  readonly valuePrefix: string;
  readonly timeoutMilliseconds: number;
};

const checkValues = Schema.decodeUnknownResult(ValuesSchema);
const checkInstances = Schema.decodeUnknownResult(InstancesSchema);

type Watch = { readonly after: number; readonly waitMilliseconds: number };

export class PlatformClient {
  readonly #options: PlatformClientOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 4 });
  #reads = 0;

  constructor(options: PlatformClientOptions) {
    this.#options = options;
  }

  /** Calls made so far, a waiting watch counted as one. */
  get reads(): number {
    return this.#reads;
  }

  /** Reads all values, or waits for something newer when given a watch. */
  async readValues(
    watch?: Watch,
  ): Promise<Result<PlatformValues, PlatformFailure>> {
    const query = new URLSearchParams({ prefix: this.#options.valuePrefix });
    if (watch !== undefined) {
      query.set("after", String(watch.after));
      query.set("wait", String(watch.waitMilliseconds));
    }
    const extra = watch?.waitMilliseconds ?? 0;
    const body = await this.#read(`/values?${query}`, extra);
    if (body.isErr()) return err(body.error);
    const checked = checkValues(body.value);
    if (EffectResult.isSuccess(checked)) return ok(checked.success);
    return err(malformed(String(checked.failure)));
  }

  async readInstances(): Promise<
    Result<readonly PlatformInstance[], PlatformFailure>
  > {
    const body = await this.#read("/instances", 0);
    if (body.isErr()) return err(body.error);
    const checked = checkInstances(body.value);
    if (EffectResult.isSuccess(checked)) return ok(checked.success.instances);
    return err(malformed(String(checked.failure)));
  }

  close(): void {
    this.#agent.destroy();
  }

  #read(
    path: string,
    extraMilliseconds: number,
  ): Promise<Result<unknown, PlatformFailure>> {
    this.#reads += 1;
    const timeout = this.#options.timeoutMilliseconds + extraMilliseconds;
    return new Promise((resolve) => {
      const url = new URL(path, this.#options.baseUrl);
      const request = get(url, { agent: this.#agent }, (response) => {
        collect(response).then(resolve, fail);
      });
      const timer = setTimeout(() => {
        request.destroy(new Error(`No answer within ${timeout} ms`));
      }, timeout);
      function fail(error: Error): void {
        resolve(err({ kind: "platform-unreachable", detail: error.message }));
      }
      request.once("error", fail);
      request.once("close", () => clearTimeout(timer));
    });
  }
}

async function collect(
  response: IncomingMessage,
): Promise<Result<unknown, PlatformFailure>> {
  let text = "";
  response.setEncoding("utf8");
  for await (const chunk of response) {
    text += chunk;
    if (text.length > MOST_ANSWER_BYTES) {
      return err(malformed(`Longer than ${MOST_ANSWER_BYTES} bytes`));
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
    return err(malformed(String(error)));
  }
}

function malformed(detail: string): PlatformFailure {
  return { kind: "platform-answer-malformed", detail: detail.slice(0, 300) };
}
