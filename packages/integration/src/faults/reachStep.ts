import type { HeldCall } from '@limpetnotch/stand-ins';
import { waitUntil } from '../fleet/waitUntil';
import type { CallStep, CellCall, ReachedCall } from './faultCell';

const STEP_TIMEOUT_MILLISECONDS = 8_000;
const TOKENS_BEFORE_FAULT = 5;

interface StartedCall {
  readonly result: ReachedCall['result'];
  /** Returns the number of body parts received so far. */
  countParts(): number;
}

const startCall = ({ fleet, entry, request, callerAbort }: CellCall): StartedCall => {
  let parts = 0;
  const result = fleet.caller.call({
    ...request,
    entry: fleet.entry(entry),
    signal: callerAbort.signal,
    onPart: () => {
      parts += 1;
    },
  });
  return { result, countParts: () => parts };
};

const waitForStep = async (step: CallStep, reached: Promise<void>): Promise<void> => {
  let isReached = false;
  void reached.then(() => {
    isReached = true;
  });
  await waitUntil(`step ${step}`, STEP_TIMEOUT_MILLISECONDS, () => Promise.resolve(isReached));
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

const reachHeldStep = async (
  call: CellCall,
  step: CallStep,
  heldCalls: readonly HeldCall[],
): Promise<ReachedCall> => {
  const { result } = startCall(call);
  await waitForStep(step, Promise.race(heldCalls.map(({ reached }) => reached)));
  return { result, release: () => heldCalls.forEach((hold) => hold.release()) };
};

const waitForTokens = async (call: CellCall): Promise<StartedCall> => {
  const started = startCall(call);
  await waitUntil('tokens', STEP_TIMEOUT_MILLISECONDS, () =>
    Promise.resolve(started.countParts() >= TOKENS_BEFORE_FAULT),
  );
  return started;
};

const reachOutcome = async (call: CellCall): Promise<ReachedCall> => {
  if (call.kind === 'model') {
    const { result } = await waitForTokens(call);
    const commit = holdCommit(call);
    await waitForStep('outcome', commit.reached);
    return { result, release: () => commit.release() };
  }
  const effect = call.fleet.tool.callsAfter.hold(() => true);
  const { result } = startCall(call);
  await waitForStep('running', effect.reached);
  const commit = holdCommit(call);
  effect.release();
  await waitForStep('outcome', commit.reached);
  return { result, release: () => commit.release() };
};

/** Starts a call and holds it at a step until it is released. */
export const reachStep = async (call: CellCall, step: CallStep): Promise<ReachedCall> => {
  switch (step) {
    case 'arrival': {
      let release = (): void => undefined;
      const released = new Promise<void>((resolve) => {
        release = resolve;
      });
      return { result: released.then(() => startCall(call).result), release };
    }
    case 'intent':
      return reachHeldStep(call, step, [holdCommit(call)]);
    case 'dispatch':
      return reachHeldStep(call, step, holdDispatch(call));
    case 'running': {
      if (call.kind === 'charge') {
        return reachHeldStep(call, step, [call.fleet.tool.callsAfter.hold(() => true)]);
      }
      const { result } = await waitForTokens(call);
      return { result, release: () => undefined };
    }
    case 'outcome':
      return reachOutcome(call);
    case 'answered': {
      const result = await startCall(call).result;
      return { result: Promise.resolve(result), release: () => undefined };
    }
    default:
      return step satisfies never;
  }
};
