import type { SeededRandom } from '@limpetnotch/stand-ins';
import type { FaultFleet } from '../faults/faultFleet';
import { createSoakKeys, getSoakOrganisations } from './soakDeclarations';

const SHORTEST_FAULT_MILLISECONDS = 500;
const LONGEST_FAULT_MILLISECONDS = 4_000;
const LOST_RESPONSES = 3;
const STORE_LATENCY_MILLISECONDS = 500;

/** One fault of a soak, with its duration where it has one. */
export type SoakCommand =
  | { readonly kind: 'kill-instance' | 'drain-instance'; readonly instance: number }
  | { readonly kind: 'pause-instance'; readonly instance: number; readonly milliseconds: number }
  | {
      readonly kind: 'refuse-store' | 'fail-store' | 'slow-store';
      readonly milliseconds: number;
    }
  | { readonly kind: 'lose-store-answers' | 'silence-store' | 'publish' }
  | { readonly kind: 'crash-engine' | 'silence-engine'; readonly engine: number }
  | { readonly kind: 'refuse-tool'; readonly milliseconds: number }
  | { readonly kind: 'silence-tool' | 'fail-tool-after-effect' }
  | { readonly kind: 'withdraw-key'; readonly key: string };

const KINDS: readonly SoakCommand['kind'][] = [
  'kill-instance',
  'drain-instance',
  'pause-instance',
  'refuse-store',
  'fail-store',
  'slow-store',
  'lose-store-answers',
  'silence-store',
  'publish',
  'crash-engine',
  'silence-engine',
  'refuse-tool',
  'silence-tool',
  'fail-tool-after-effect',
  'withdraw-key',
];

/** Returns the keys that may be withdrawn: each organisation's first two; its last stays active. */
const getWithdrawableKeys = (): readonly string[] =>
  getSoakOrganisations().flatMap((organisation) =>
    createSoakKeys()
      .filter((key) => key.organisation === organisation)
      .slice(0, -1)
      .map(({ name }) => name),
  );

/** Draws the next fault. */
export const drawCommand = (
  random: SeededRandom,
  instances: number,
  engines: number,
): SoakCommand => {
  const kind = random.pick(KINDS);
  const milliseconds = random.integer(SHORTEST_FAULT_MILLISECONDS, LONGEST_FAULT_MILLISECONDS);
  const instance = random.integer(0, instances - 1);
  const engine = random.integer(0, engines - 1);
  switch (kind) {
    case 'kill-instance':
    case 'drain-instance':
      return { kind, instance };
    case 'pause-instance':
      return { kind, instance, milliseconds };
    case 'refuse-store':
    case 'fail-store':
    case 'slow-store':
    case 'refuse-tool':
      return { kind, milliseconds };
    case 'crash-engine':
    case 'silence-engine':
      return { kind, engine };
    case 'withdraw-key':
      return { kind, key: random.pick(getWithdrawableKeys()) };
    case 'lose-store-answers':
    case 'silence-store':
    case 'publish':
    case 'silence-tool':
    case 'fail-tool-after-effect':
      return { kind };
    default:
      return kind satisfies never;
  }
};

const wait = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

/** Publishing may fail while the store is unavailable, as it would for an operator. */
const ignorePublishFailure = (publishing: Promise<void>): Promise<void> =>
  publishing.catch(() => undefined);

/** Injects a fault and ends it. */
export const runCommand = async (fleet: FaultFleet, command: SoakCommand): Promise<void> => {
  switch (command.kind) {
    case 'kill-instance':
    case 'drain-instance':
      fleet
        .process(command.instance)
        .signal(command.kind === 'kill-instance' ? 'SIGKILL' : 'SIGTERM');
      await fleet.restart(command.instance);
      return;
    case 'pause-instance':
      fleet.process(command.instance).signal('SIGSTOP');
      await wait(command.milliseconds);
      fleet.process(command.instance).signal('SIGCONT');
      return;
    case 'refuse-store':
    case 'fail-store':
      await fleet.store.setFaults({
        outage: command.kind === 'refuse-store' ? 'refused' : 'unavailable',
      });
      await wait(command.milliseconds);
      await fleet.store.setFaults({ outage: 'none' });
      return;
    case 'slow-store':
      await fleet.store.setFaults({ latencyMilliseconds: STORE_LATENCY_MILLISECONDS });
      await wait(command.milliseconds);
      await fleet.store.setFaults({ latencyMilliseconds: 0 });
      return;
    case 'lose-store-answers':
      await fleet.store.setFaults({ loseAnswers: LOST_RESPONSES });
      return;
    case 'silence-store':
      await fleet.store.setFaults({ silenceConnections: true });
      return;
    case 'publish':
      await ignorePublishFailure(fleet.publish());
      return;
    case 'crash-engine':
      await fleet.engines[command.engine]?.setFaults({ crashNow: true });
      return;
    case 'silence-engine':
      await fleet.engines[command.engine]?.setFaults({ silenceConnections: true });
      return;
    case 'refuse-tool':
      await fleet.tool.setFaults({ refuse: true });
      await wait(command.milliseconds);
      await fleet.tool.setFaults({ refuse: false });
      return;
    case 'silence-tool':
      await fleet.tool.setFaults({ silenceConnections: true });
      return;
    case 'fail-tool-after-effect':
      await fleet.tool.setFaults({ failAfter: 1 });
      return;
    case 'withdraw-key':
      await ignorePublishFailure(fleet.withdrawKey(command.key));
      return;
    default:
      command satisfies never;
  }
};
