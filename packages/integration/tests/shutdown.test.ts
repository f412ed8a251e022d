import { request } from 'undici';
import { LocalFleet } from '../src';
import { FIRST_SECRET, localDeclarations } from './localDeclarations';

jest.setTimeout(60_000);

const PROGRAM_COUNT = 12;
const TURN_COUNT = 6;

let fleet: LocalFleet;

beforeAll(async () => {
  fleet = await LocalFleet.start({
    instances: 3,
    engines: 2,
    engineSettings: { models: ['small'], tokensPerSecond: 200 },
    declarations: localDeclarations(),
  });
});

afterAll(async () => fleet.stop());

interface TurnResult {
  readonly status: number;
  readonly text: string;
  readonly sequence: string;
}

const runTurn = async (entry: number, program: string, turn: number): Promise<TurnResult> => {
  const response = await request(`${fleet.instances[entry]!.address}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${FIRST_SECRET}`,
      'content-type': 'application/json',
      'limpetnotch-program': program,
    },
    body: JSON.stringify({
      model: 'small',
      stream: true,
      messages: [{ role: 'user', content: `turn ${turn} [output=20]` }],
    }),
  });
  const text = await response.body.text();
  return {
    status: response.statusCode,
    text,
    sequence: String(response.headers['limpetnotch-sequence']),
  };
};

/** Runs a program whose calls use the two entries that aren't stopped. */
const runProgram = async (index: number): Promise<readonly TurnResult[]> => {
  const results: TurnResult[] = [];
  for (let turn = 0; turn < TURN_COUNT; turn += 1) {
    results.push(await runTurn(1 + (index % 2), `program-${index}`, turn));
  }
  return results;
};

test('a graceful shutdown cuts off no call and keeps every order', async () => {
  const programs = Promise.all(
    Array.from({ length: PROGRAM_COUNT }, async (_, index) => runProgram(index)),
  );
  const held = runTurn(0, 'held', 0);
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  await fleet.instances[0]!.stop();
  expect((await held).text.endsWith('data: [DONE]\n\n')).toBe(true);
  const results = await programs;
  results.forEach((turns) => {
    expect(turns.map(({ status }) => status)).toEqual(Array(TURN_COUNT).fill(200));
    expect(turns.map(({ sequence }) => sequence)).toEqual(['0', '1', '2', '3', '4', '5']);
    turns.forEach(({ text }) => expect(text.endsWith('data: [DONE]\n\n')).toBe(true));
  });
});
