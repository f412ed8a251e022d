import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';
import type { ResumedStream } from '../src/resumed-streams/resumingCaller';
import type { ResumedStreamsFault } from '../src/resumed-streams/runResumedStreams';
import { runResumedStreams } from '../src/resumed-streams/runResumedStreams';

const ROOT = resolve(__dirname, '../../..');
const PROGRAM = resolve(ROOT, 'target/main.js');
const STREAMS = 16;
const SETUP_MILLISECONDS = 120_000;

interface Case {
  readonly name: string;
  readonly versions: readonly string[];
  readonly fault: ResumedStreamsFault;
  /** Whether other instances must still know which version began a stream. */
  readonly isOriginKept: boolean;
}

const CASES: readonly Case[] = [
  {
    name: 'their instance is killed',
    versions: ['v1', 'v2'],
    fault: { kind: 'instances-killed', instances: [0] },
    isOriginKept: true,
  },
  {
    name: 'their instance and one more are killed',
    versions: ['v1', 'v2'],
    fault: { kind: 'instances-killed', instances: [0, 2] },
    isOriginKept: true,
  },
  {
    name: 'all instances but one are killed',
    versions: ['v1', 'v2'],
    fault: { kind: 'instances-killed', instances: [0, 1, 2] },
    isOriginKept: true,
  },
  {
    name: 'all instances are killed',
    versions: ['v1', 'v2'],
    fault: { kind: 'instances-killed', instances: [0, 1, 2, 3] },
    isOriginKept: true,
  },
  {
    name: 'all instances are killed after the version has left',
    versions: ['v1'],
    fault: { kind: 'all-killed-after-release' },
    isOriginKept: false,
  },
];

const results = new Map<string, readonly ResumedStream[]>();

beforeAll(async () => {
  await promisify(execFile)(process.execPath, ['deploy/bundle.mjs'], { cwd: ROOT });
  for (const { name, ...options } of CASES) {
    results.set(name, await runResumedStreams({ ...options, streams: STREAMS, program: PROGRAM }));
  }
}, SETUP_MILLISECONDS);

const getBroken = (name: string): readonly ResumedStream[] =>
  (results.get(name) ?? []).filter(({ end }) => end !== 'not-broken');

// A resumed stream went on at any version, as nothing told which one had begun it.
test.each(CASES)('resumed streams hold events of one version: $name', ({ name }) => {
  const broken = getBroken(name);
  expect(broken.length).toBeGreaterThan(STREAMS / 2);
  expect(broken.filter(({ versions }) => versions.length !== 1)).toEqual([]);
});

test.each(CASES)('resumed streams hold each event once: $name', ({ name }) => {
  const ids = getBroken(name).map(({ eventIds }) => eventIds);
  expect(ids.filter((list) => list.some((id, index) => id !== index + 1))).toEqual([]);
});

test.each(CASES.filter(({ isOriginKept }) => isOriginKept))(
  'resumed streams go on where their version serves: $name',
  ({ name }) => {
    const broken = getBroken(name);
    const resumed = broken.filter(({ end }) => end === 'went-on');
    expect(resumed.length).toBeGreaterThanOrEqual(broken.length / 2);
  },
);
