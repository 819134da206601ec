/**
 * Compiles the intentions in force into what a call needs: its service,
 * whether it is protected, and the backend servers that may take it.
 */
import type {
  BackendServerIntention,
  BudgetName,
  IntentionRow,
  LimitName,
  ProtectedRule,
  ServiceRule,
} from "./intention.ts";
import type { Address, ServiceName } from "./types.ts";

export type ServiceIntentions = {
  readonly service: ServiceName;
  readonly backendServers: readonly BackendServerIntention[];
  readonly protectedRules: readonly ProtectedRule[];
  readonly limits: ReadonlyMap<LimitName, number>;
  readonly budgets: ReadonlyMap<BudgetName, number>;
};

export type RoutedCall = {
  readonly service: ServiceIntentions;
  readonly isProtected: boolean;
};

export type CallAttributes = {
  readonly host: string;
  readonly method: string;
  readonly path: string;
};

type MutableService = {
  service: ServiceName;
  backendServers: BackendServerIntention[];
  protectedRules: ProtectedRule[];
  limits: Map<LimitName, number>;
  budgets: Map<BudgetName, number>;
};

/** Methods that the HTTP standard calls safe (RFC 9110, section 9.2.1). */
const SAFE_METHODS: readonly string[] = ["GET", "HEAD", "OPTIONS"];

/** Rules, services and retiring addresses at one moment. */
export class RoutingTable {
  readonly #rules: readonly ServiceRule[];
  readonly #services: ReadonlyMap<ServiceName, ServiceIntentions>;
  readonly #retiring: ReadonlySet<Address>;

  constructor(rows: Iterable<IntentionRow>) {
    const rules: ServiceRule[] = [];
    const services = new Map<ServiceName, MutableService>();
    const retiring = new Set<Address>();
    for (const { content, isWithdrawn } of rows) {
      if (isWithdrawn) continue;
      if (content.kind === "retiring") {
        retiring.add(content.address);
        continue;
      }
      const service = serviceOf(content.service, services);
      if (content.kind === "service-rule") rules.push(content);
      else addToService(content, service);
    }
    this.#rules = rules.sort(compareSpecificity);
    this.#services = services;
    this.#retiring = retiring;
  }

  get services(): ServiceIntentions[] {
    return [...this.#services.values()];
  }

  get retiring(): ReadonlySet<Address> {
    return this.#retiring;
  }

  /** The service that a call belongs to, by the most specific rule. */
  route(call: CallAttributes): RoutedCall | undefined {
    const rule = this.#rules.find((candidate) => matches(candidate, call));
    if (rule === undefined) return undefined;
    const service = this.#services.get(rule.service);
    if (service === undefined) return undefined;
    return { service, isProtected: isProtected(call, service) };
  }
}

function serviceOf(
  name: ServiceName,
  services: Map<ServiceName, MutableService>,
): MutableService {
  const existing = services.get(name);
  if (existing !== undefined) return existing;
  const service: MutableService = {
    service: name,
    backendServers: [],
    protectedRules: [],
    limits: new Map(),
    budgets: new Map(),
  };
  services.set(name, service);
  return service;
}

type ServiceContent = Exclude<
  IntentionRow["content"],
  ServiceRule | { kind: "retiring" }
>;

function addToService(content: ServiceContent, service: MutableService): void {
  switch (content.kind) {
    case "backend-server":
      service.backendServers.push(content);
      return;
    case "protected":
      service.protectedRules.push(content);
      return;
    case "limit":
      service.limits.set(content.name, content.value);
      return;
    case "budget":
      service.budgets.set(content.name, content.value);
      return;
  }
}

/** Longer prefixes first, then rules that name a host, then a method. */
function compareSpecificity(left: ServiceRule, right: ServiceRule): number {
  const byPath = right.pathPrefix.length - left.pathPrefix.length;
  if (byPath !== 0) return byPath;
  const byHost = right.host.length - left.host.length;
  if (byHost !== 0) return byHost;
  const byMethod = right.method.length - left.method.length;
  if (byMethod !== 0) return byMethod;
  return left.service < right.service ? -1 : 1;
}

function matches(rule: ServiceRule, call: CallAttributes): boolean {
  if (rule.method !== "" && rule.method !== call.method) return false;
  if (rule.host !== "" && rule.host !== call.host) return false;
  return isBelow(call.path, rule.pathPrefix);
}

/** Whether `path` is `prefix` or lies below it at a segment boundary. */
function isBelow(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith("/") || path.length === prefix.length) return true;
  const next = path[prefix.length];
  return next === "/" || next === "?";
}

/**
 * A call with a method that is not safe is always protected. Protected rules
 * add calls with a safe method, so a refused row can never lift protection.
 */
function isProtected(
  call: CallAttributes,
  service: ServiceIntentions,
): boolean {
  if (!SAFE_METHODS.includes(call.method)) return true;
  return service.protectedRules.some((rule) => {
    if (rule.method !== "" && rule.method !== call.method) return false;
    return isBelow(call.path, rule.pathPrefix);
  });
}
