import {
  completionText,
  EngineStandIn,
  EntryCaller,
  generatePrograms,
  planAnswer,
  joinAnswerText,
  chatRequestSchema,
  ProgramRunner,
  SMALL_MIX,
  ToolStandIn,
} from '../src';
import type { FinishedStep } from '../src';

const options = {
  seed: 3,
  durationMilliseconds: 2_000,
  organisations: [
    { name: 'large', programsPerSecond: 8 },
    { name: 'small', programsPerSecond: 1 },
  ],
  mix: SMALL_MIX,
};

test('draws the same programs for the same seed', () => {
  const programs = generatePrograms(options);
  expect(generatePrograms(options)).toEqual(programs);
  expect(generatePrograms({ ...options, seed: 4 })).not.toEqual(programs);
  const large = programs.filter(({ organisation }) => organisation === 'large');
  expect(large.length).toBeGreaterThan(programs.length / 2);
  const kinds = programs.flatMap(({ steps }) => steps.map(({ kind }) => kind));
  expect(new Set(kinds)).toEqual(new Set(['model', 'tool', 'agents']));
});

test('runs a program in order and keeps its history', async () => {
  const engine = new EngineStandIn({ tokensPerSecond: 5_000 });
  const tools = new ToolStandIn();
  await Promise.all([engine.start(), tools.start()]);
  const caller = new EntryCaller();
  const finished: FinishedStep[] = [];
  const runner = new ProgramRunner({
    caller,
    // The engine replaces an entry: model calls need no other component.
    entries: () => [engine.server.address],
    keyOf: () => 'key',
    model: 'small',
    modelPath: '/v1/chat/completions',
    idempotentToolPath: '/tools/read',
    nonIdempotentToolPath: '/tools/charge',
    attemptMilliseconds: 5_000,
    patienceMilliseconds: 0,
    onStep: (step) => finished.push(step),
  });
  const model = { kind: 'model', promptCharacters: 50, outputTokens: 5 } as const;
  const isWhole = await runner.run({
    name: 'p',
    organisation: 'o',
    startMilliseconds: 0,
    steps: [model, { kind: 'agents', agents: [[model], [model]] }, model],
  });
  expect(isWhole).toBe(true);
  expect(finished.map(({ effect }) => effect).sort()).toEqual([
    'o/p#0',
    'o/p#1',
    'o/p/agent-1-0#0',
    'o/p/agent-1-1#0',
  ]);
  finished.forEach(({ messages, result }) => {
    const chat = chatRequestSchema.parse({ model: 'small', messages, max_tokens: 5 });
    const text = result.kind === 'answered' ? completionText(result.text) : undefined;
    expect(text).toBe(joinAnswerText(planAnswer(chat, 1)));
  });
  await caller.close();
  await Promise.all([engine.stop(), tools.stop()]);
});

test('reports a refused connection as broken', async () => {
  const caller = new EntryCaller();
  const result = await caller.call({ entry: 'http://127.0.0.1:1', path: '/', body: {} });
  expect(result.kind).toBe('broken');
  await caller.close();
});
