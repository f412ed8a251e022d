import { checkDeclarations, parseDeclarations } from '../src';
import type { Fault } from '../src';
import { createExampleSet, createExampleText } from './createExampleSet';

const checkText = (text: string): readonly Fault[] =>
  checkDeclarations(parseDeclarations([{ path: 'set.yaml', text }])).match(
    () => [],
    (faults) => faults,
  );

const listProblems = (text: string): string[] =>
  checkText(text).map(({ problem, object, line }) => `${problem} ${object} ${line}`);

test('accepts a valid set', () => {
  expect(createExampleSet().routes.get('chat')).toMatchObject({
    methods: ['POST'],
    access: { kind: 'keyed' },
  });
});

test('reports every fault at once with its line', () => {
  const text = `${createExampleText().replace('requestsPerSecond: 10', 'requestsPerSecond: -1')}---
kind: key
name: stray
spec: { organisation: nobody, digest: 'sha256:${'b'.repeat(64)}' }
---
kind: organisation
name: amman
spec: { rate: { requestsPerSecond: 1, burst: 1 } }
---
kind: budget
name: one
spec: { parent: two }
---
kind: budget
name: two
spec: { parent: one }
`;
  expect(listProblems(text)).toEqual([
    'impossible-limit organisation/amman 5',
    'dangling-reference key/stray 35',
    'duplicate-name organisation/amman 37',
    'budget-cycle budget/one 41',
  ]);
});

test.each([
  ['tokens: 1000', 'tokens: 1000, parent: small', 'limit-above-parent budget/survey 29'],
  [
    'models: [estimate] }\n  targets',
    'models: [other] }\n  targets',
    'unreachable-route route/chat 21',
  ],
  ['kind: engine, models: [estimate]', 'kind: service', 'unreachable-route route/chat 21'],
  ['burst: 20', 'burst: 0', 'impossible-limit organisation/amman 5'],
  ['idempotent: true', 'idempotent: true\n  deadlineSeconds: 5', 'impossible-limit route/chat 21'],
  ['kind: key', 'kind: keys', 'unknown-kind document 2 8'],
  ['weight: 1', 'wieght: 1', 'unknown-field organisation/amman 3'],
  ['idempotent: true', 'deadlineSeconds: 20', 'missing-field route/chat 23'],
  ['targets: [engine-1]', 'targets: [engine-1, engine-2]', 'dangling-reference route/chat 26'],
])('reports a fault for %s -> %s', (from, to, problem) => {
  const small = '---\nkind: budget\nname: small\nspec: { tokens: 10 }\n';
  expect(listProblems(createExampleText().replace(from, to) + small)).toEqual([problem]);
});

test('reports a duplicate route and a duplicate key digest', () => {
  const [, key = '', , route = ''] = createExampleText().split('---\n');
  const duplicates = [key, route].map((text) => text.replace(/name: (.*)/, 'name: $1-again'));
  expect(listProblems([createExampleText(), ...duplicates].join('---\n'))).toEqual([
    'duplicate-key-digest key/amman-office-again 33',
    'duplicate-route route/chat-again 39',
  ]);
});

test.each([
  ['an alias bomb', `a: &a [x]\nb: [${'*a,'.repeat(200)}]`],
  ['deep nesting', '['.repeat(100_000)],
  ['a duplicate field', 'kind: key\nkind: key'],
  ['a scalar', 'text'],
  ['a custom tag', 'kind: !!js/function x'],
])('rejects %s', (_name, text) => {
  expect(checkText(text).length).toBeGreaterThan(0);
  expect(checkText(text).length).toBeLessThanOrEqual(5);
});

test('rejects a file that is too large and parses the others', () => {
  const parsed = parseDeclarations([
    { path: 'huge.yaml', text: ' '.repeat(33 * 1024 * 1024) },
    { path: 'set.yaml', text: createExampleText() },
  ]);
  expect(parsed.faults.map(({ file, problem }) => [file, problem])).toEqual([
    ['huge.yaml', 'too-large'],
  ]);
  expect(parsed.objects).toHaveLength(5);
});
