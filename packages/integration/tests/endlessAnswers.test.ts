import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';
import type { EndlessAnswersResult } from '../src/endless-answers/runEndlessAnswers';
import { runEndlessAnswers } from '../src/endless-answers/runEndlessAnswers';

const ROOT = resolve(__dirname, '../../..');
const PROGRAM = resolve(ROOT, process.env.ENTRY_PROGRAM ?? 'target/main.js');
const SETUP_MILLISECONDS = 120_000;

/** Longest delay that an event of a stream may have on its way through an instance. */
const MAXIMUM_READINESS_MILLISECONDS = 120;

/** A request has an answer within half a second of its route's timeout of 4 s. */
const MAXIMUM_FAULTY_MILLISECONDS = 4_500;

const SHAPES = [
  'junk',
  'a body in chunks',
  'a body in tiny chunks',
  'a body that ends with its connection',
  'blank lines in chunks',
  'blank lines in tiny chunks',
  'blank lines without a length',
  'comments in chunks',
  'a long comment in chunks',
  'events with identifiers only in chunks',
  'small events in tiny chunks',
  'small events without a length',
  'an endless field in tiny chunks',
];

const results = new Map<string, EndlessAnswersResult>();

beforeAll(async () => {
  await promisify(execFile)(process.execPath, ['deploy/bundle.mjs'], { cwd: ROOT });
  const played = await runEndlessAnswers({ program: PROGRAM, shapes: SHAPES });
  played.forEach((result) => results.set(result.shape, result));
}, SETUP_MILLISECONDS);

// One target that sent without end filled the heap of an instance, or kept its event loop busy for
// seconds, so that requests to other targets ended with it.
test.each(SHAPES)('an instance serves others beside a target that sends %s', (shape) => {
  const result = results.get(shape);
  expect(result).toMatchObject({ isRunning: true, openConnections: 0 });
  expect(result?.answeredOrders).toBe(result?.orders);
  expect(result?.longestReadinessMilliseconds).toBeLessThan(MAXIMUM_READINESS_MILLISECONDS);
  expect(result?.longestFaultyMilliseconds).toBeLessThan(MAXIMUM_FAULTY_MILLISECONDS);
  expect(result?.faultyOutcomes).not.toContain('200');
});
