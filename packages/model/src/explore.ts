/**
 * Explores every reachable state of a small model with `xstate/graph` and
 * looks for a state in which a property does not hold.
 */
import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";

export type ModelEvent = { readonly type: string };

export type Model<State, Event extends ModelEvent> = {
  readonly name: string;
  readonly variant: string;
  readonly bounds: string;
  readonly initial: State;
  readonly events: readonly Event[];
  /** Returns the same object when the event is not possible. */
  readonly step: (state: State, event: Event) => State;
  /** Equal texts mean equal states. */
  readonly serialize: (state: State) => string;
  readonly property: string;
  readonly holds: (state: State) => boolean;
  readonly expectsCounterexample: boolean;
};

export type CheckReport = {
  readonly model: string;
  readonly variant: string;
  readonly bounds: string;
  readonly property: string;
  readonly states: number;
  readonly expectsCounterexample: boolean;
  /** The shortest trace to a state in which the property does not hold. */
  readonly counterexample: readonly string[] | undefined;
};

/** More states than this mean that the bounds of a model are wrong. */
const MOST_STATES = 1_000_000;

type Transition = { readonly next: string; readonly event: string };
type Node<State> = { state: State; transitions: Transition[] };

/** Explores exhaustively within the model's own bounds. */
export function explore<State, Event extends ModelEvent>(
  model: Model<State, Event>,
): CheckReport {
  const nodes = reachable(model);
  const start = model.serialize(model.initial);
  return {
    model: model.name,
    variant: model.variant,
    bounds: model.bounds,
    property: model.property,
    states: nodes.size,
    expectsCounterexample: model.expectsCounterexample,
    counterexample: shortestViolation(nodes, { start, holds: model.holds }),
  };
}

function reachable<State, Event extends ModelEvent>(
  model: Model<State, Event>,
): Map<string, Node<State>> {
  const names = new WeakMap<object, string>();
  function nameOf(context: { readonly value: State }): string {
    const known = names.get(context);
    if (known !== undefined) return known;
    const name = model.serialize(context.value);
    names.set(context, name);
    return name;
  }
  function stepContext(state: { value: State }, event: Event) {
    const next = model.step(state.value, event);
    return next === state.value ? state : { value: next };
  }
  const logic = fromTransition(stepContext, { value: model.initial });
  const queued = new Set([model.serialize(model.initial)]);
  /** Follows an event only to a state that has not been queued before. */
  function leadsToNews(context: { value: State }, event: Event): boolean {
    const name = nameOf(stepContext(context, event));
    if (queued.has(name)) return false;
    queued.add(name);
    return true;
  }
  const map = getAdjacencyMap(logic, {
    events: [...model.events],
    serializeState: (snapshot) => nameOf(snapshot.context),
    filterEvents: (snapshot, event) => leadsToNews(snapshot.context, event),
    limit: MOST_STATES,
  });
  const nodes = new Map<string, Node<State>>();
  for (const [name, { state, transitions }] of Object.entries(map)) {
    const following = Object.values<{
      readonly state: { readonly context: { readonly value: State } };
      readonly event: Event;
    }>(transitions).map((transition) => ({
      next: nameOf(transition.state.context),
      event: transition.event.type,
    }));
    nodes.set(name, { state: state.context.value, transitions: following });
  }
  return nodes;
}

type Search<State> = {
  readonly start: string;
  readonly holds: (state: State) => boolean;
};

function shortestViolation<State>(
  nodes: ReadonlyMap<string, Node<State>>,
  search: Search<State>,
): string[] | undefined {
  const traces = new Map<string, string[]>([[search.start, []]]);
  const queue = [search.start];
  for (const name of queue) {
    const node = nodes.get(name);
    const trace = traces.get(name) ?? [];
    if (node === undefined) continue;
    if (!search.holds(node.state)) return trace;
    for (const { next, event } of node.transitions) {
      if (traces.has(next)) continue;
      traces.set(next, [...trace, event]);
      queue.push(next);
    }
  }
  return undefined;
}
