/**
 * Explores every reachable state of a small model with `xstate/graph` and
 * searches for a state in which a property does not hold.
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
  /** Returns the same object if the event is not possible in this state. */
  readonly step: (state: State, event: Event) => State;
  /** States with the same serialization are treated as one state. */
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

/** A model that reaches more states has bounds that are too wide. */
const MAXIMUM_STATES = 1_000_000;

type Transition = { readonly next: string; readonly event: string };
type StateNode<State> = { state: State; transitions: Transition[] };

/** Explores every state of the model within its bounds. */
export function explore<State, Event extends ModelEvent>(
  model: Model<State, Event>,
): CheckReport {
  const nodes = exploreReachableStates(model);
  const initialKey = model.serialize(model.initial);
  return {
    model: model.name,
    variant: model.variant,
    bounds: model.bounds,
    property: model.property,
    states: nodes.size,
    expectsCounterexample: model.expectsCounterexample,
    counterexample: findShortestCounterexample(nodes, {
      initialKey,
      holds: model.holds,
    }),
  };
}

function exploreReachableStates<State, Event extends ModelEvent>(
  model: Model<State, Event>,
): Map<string, StateNode<State>> {
  const stateKeys = new WeakMap<object, string>();
  function stateKeyOf(context: { readonly value: State }): string {
    const cached = stateKeys.get(context);
    if (cached !== undefined) return cached;
    const stateKey = model.serialize(context.value);
    stateKeys.set(context, stateKey);
    return stateKey;
  }
  function stepContext(state: { value: State }, event: Event) {
    const next = model.step(state.value, event);
    return next === state.value ? state : { value: next };
  }
  const logic = fromTransition(stepContext, { value: model.initial });
  const queued = new Set([model.serialize(model.initial)]);
  /** Accepts an event only if it leads to a state not yet queued. */
  function leadsToNewState(context: { value: State }, event: Event): boolean {
    const stateKey = stateKeyOf(stepContext(context, event));
    if (queued.has(stateKey)) return false;
    queued.add(stateKey);
    return true;
  }
  const adjacencyMap = getAdjacencyMap(logic, {
    events: [...model.events],
    serializeState: (snapshot) => stateKeyOf(snapshot.context),
    filterEvents: (snapshot, event) => leadsToNewState(snapshot.context, event),
    limit: MAXIMUM_STATES,
  });
  const nodes = new Map<string, StateNode<State>>();
  for (
    const [stateKey, { state, transitions }] of Object.entries(adjacencyMap)
  ) {
    const outgoing = Object.values<{
      readonly state: { readonly context: { readonly value: State } };
      readonly event: Event;
    }>(transitions).map((transition) => ({
      next: stateKeyOf(transition.state.context),
      event: transition.event.type,
    }));
    nodes.set(stateKey, { state: state.context.value, transitions: outgoing });
  }
  return nodes;
}

type CounterexampleSearch<State> = {
  readonly initialKey: string;
  readonly holds: (state: State) => boolean;
};

function findShortestCounterexample<State>(
  nodes: ReadonlyMap<string, StateNode<State>>,
  search: CounterexampleSearch<State>,
): string[] | undefined {
  const traces = new Map<string, string[]>([[search.initialKey, []]]);
  const queue = [search.initialKey];
  for (const stateKey of queue) {
    const node = nodes.get(stateKey);
    const trace = traces.get(stateKey) ?? [];
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
