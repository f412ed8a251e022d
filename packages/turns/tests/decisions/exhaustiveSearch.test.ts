import { chooseHolders, isRetired, judgeAbsence } from '../../src';
import { isRepairConclusive } from '../../src/decisions/isRepairConclusive';
import { mayForgetAbsence } from '../../src/decisions/mayForgetAbsence';
import type { ModelDecisions, ModelInstance, ModelState } from '../support/turnModel';
import { TurnModel } from '../support/turnModel';

jest.setTimeout(300_000);

const DECISIONS: ModelDecisions = {
  chooseHolders,
  isRetired,
  judgeAbsence,
  isRepairConclusive,
  mayForgetAbsence,
};

interface Search {
  readonly states: number;
  readonly violation: string | undefined;
}

interface SearchOptions {
  readonly depth: number;
  /** Instances that have the turn at the start; with enough of them, it is acknowledged. */
  readonly holding?: readonly number[];
  readonly program?: string;
  readonly instances?: number;
  readonly initial?: number;
  readonly decisions?: Partial<ModelDecisions>;
}

/** Instances that a step leaves as they are stay the same objects, so their texts are kept. */
const instanceTexts = new WeakMap<ModelInstance, string>();

const toInstanceText = (instance: ModelInstance): string => {
  const known = instanceTexts.get(instance);
  if (known !== undefined) return known;
  const text = Object.values(instance)
    .map((value: boolean | string | readonly number[]) =>
      typeof value === 'boolean' ? Number(value) : `[${String(value)}]`,
    )
    .join('');
  instanceTexts.set(instance, text);
  return text;
};

const toText = ({ instances, isAcknowledged }: ModelState): string =>
  `${isAcknowledged ? 1 : 0}${instances.map(toInstanceText).join('/')}`;

/** Visits all states up to a number of steps; returns the shortest way to a broken rule. */
const search = ({
  depth,
  holding = [],
  program = 'p',
  instances = 4,
  initial = 3,
  decisions = {},
}: SearchOptions): Search => {
  const model = new TurnModel({
    decisions: { ...DECISIONS, ...decisions },
    toleratedLosses: { instances: 1, availabilityZones: 1 },
    availabilityZones: ['a', 'b', 'a', 'b'].slice(0, instances),
    initial,
    program,
  });
  const origins = new Map<string, readonly [origin: string, step: string]>();
  const describe = (text: string): string => {
    const [origin, step] = origins.get(text)!;
    return origin === '' ? step : `${describe(origin)}, ${step}`;
  };
  const start = model.createState(holding);
  origins.set(toText(start), ['', 'start']);
  let layer: ModelState[] = [start];
  for (let taken = 0; taken < depth; taken += 1) {
    const next: ModelState[] = [];
    for (const state of layer) {
      const origin = toText(state);
      for (const step of model.listSteps(state)) {
        const text = toText(step.state);
        if (!origins.has(text)) {
          origins.set(text, [origin, step.name]);
          const rule = model.findViolation(step.state);
          if (rule) return { states: origins.size, violation: `${rule}: ${describe(text)}` };
          next.push(step.state);
        }
      }
    }
    layer = next;
  }
  return { states: origins.size, violation: undefined };
};

// With these depths the test takes seconds; depth 8 was searched with all three pairs as well.
test.each([
  ['nowhere', [], 6],
  ['on the first two instances', [0, 1], 6],
  ['on the last two instances', [1, 2], 6],
  ['in one availability zone', [0, 2], 6],
])('a turn that is %s at first is never lost or taken for absent', (_title, holding, depth) => {
  expect(search({ depth, holding }).violation).toBeUndefined();
});

// Shows that the search is deep enough to find what each decision prevents.
test.each<[string, Partial<ModelDecisions>]>([
  [
    'more silent instances than tolerated',
    {
      judgeAbsence: (evidence) =>
        judgeAbsence({ ...evidence, toleratedLosses: { instances: 2, availabilityZones: 1 } }),
    },
  ],
  [
    'a loss that a repair ignores',
    { isRepairConclusive: (evidence) => isRepairConclusive({ ...evidence, lost: 0 }) },
  ],
  [
    'an absent member that a repair ignores',
    { isRepairConclusive: (evidence) => isRepairConclusive({ ...evidence, absent: 0 }) },
  ],
  ['a retirement that does not ask the holders', { isRetired: () => true }],
  ['an absent member that is forgotten too early', { mayForgetAbsence: () => true }],
])('the search finds %s', (_title, decisions) => {
  const found = [6, 7].some((depth) =>
    [
      [0, 1],
      [1, 2],
    ].some((holding) => search({ depth, holding, decisions }).violation !== undefined),
  );
  expect(found).toBe(true);
});
