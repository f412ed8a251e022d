import type { HeldCall } from '@limpetnotch/stand-ins';
import { waitUntil } from '../fleet/waitUntil';
import type { CallStep, CellCall, ReachedCall } from './faultCell';

const REACH_MILLISECONDS = 8_000;
const TOKENS_BEFORE_FAULT = 5;

interface StartedCall {
  readonly answer: ReachedCall['answer'];
  /** Parts of the answer's body that came so far. */
  parts(): number;
}

const start = ({ fleet, entry, request, caller }: CellCall): StartedCall => {
  let parts = 0;
  const answer = fleet.caller.call({
    ...request,
    entry: fleet.entry(entry),
    signal: caller.signal,
    onPart: () => {
      parts += 1;
    },
  });
  return { answer, parts: () => parts };
};

const within = async (step: CallStep, reached: Promise<void>): Promise<void> => {
  let isReached = false;
  void reached.then(() => {
    isReached = true;
  });
  await waitUntil(`step ${step}`, REACH_MILLISECONDS, () => Promise.resolve(isReached));
};

const holdCommit = ({ fleet, partition }: CellCall): HeldCall =>
  fleet.store.transactionsBefore.hold(({ keys }) => keys.includes(`partitions/${partition}`));

const holdDispatch = ({ fleet, kind, effect }: CellCall): readonly HeldCall[] => {
  if (kind === 'charge') return [fleet.tool.callsBefore.hold(() => true)];
  return fleet.engines.map((engine) =>
    engine.requestsBefore.hold(({ messages }) =>
      messages.some(({ content }) => content.includes(effect)),
    ),
  );
};

const reachHeld = async (
  call: CellCall,
  step: CallStep,
  holds: readonly HeldCall[],
): Promise<ReachedCall> => {
  const { answer } = start(call);
  await within(step, Promise.race(holds.map(({ reached }) => reached)));
  return { answer, release: () => holds.forEach((hold) => hold.release()) };
};

const reachRunningModel = async (call: CellCall): Promise<StartedCall> => {
  const started = start(call);
  await waitUntil('tokens', REACH_MILLISECONDS, () =>
    Promise.resolve(started.parts() >= TOKENS_BEFORE_FAULT),
  );
  return started;
};

const reachOutcome = async (call: CellCall): Promise<ReachedCall> => {
  if (call.kind === 'model') {
    const { answer } = await reachRunningModel(call);
    const commit = holdCommit(call);
    await within('outcome', commit.reached);
    return { answer, release: () => commit.release() };
  }
  const effect = call.fleet.tool.callsAfter.hold(() => true);
  const { answer } = start(call);
  await within('running', effect.reached);
  const commit = holdCommit(call);
  effect.release();
  await within('outcome', commit.reached);
  return { answer, release: () => commit.release() };
};

/** Starts a call and brings it to a step, where it is held until it is released. */
export const reachStep = async (call: CellCall, step: CallStep): Promise<ReachedCall> => {
  switch (step) {
    case 'arrival': {
      let release = (): void => undefined;
      const released = new Promise<void>((resolve) => {
        release = resolve;
      });
      return { answer: released.then(() => start(call).answer), release };
    }
    case 'intent':
      return reachHeld(call, step, [holdCommit(call)]);
    case 'dispatch':
      return reachHeld(call, step, holdDispatch(call));
    case 'running': {
      if (call.kind === 'charge') {
        return reachHeld(call, step, [call.fleet.tool.callsAfter.hold(() => true)]);
      }
      const { answer } = await reachRunningModel(call);
      return { answer, release: () => undefined };
    }
    case 'outcome':
      return reachOutcome(call);
    case 'answered': {
      const answer = await start(call).answer;
      return { answer: Promise.resolve(answer), release: () => undefined };
    }
    default:
      return step satisfies never;
  }
};
