import { Command, Option } from 'clipanion';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { request } from 'undici';
import { computeKeyDigest, LocalFleet } from '../fleet/localFleet';
import { formatTable } from '../quickstart/formatTable';

const MAXIMUM_ADDED_MILLISECONDS = 9;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const PERCENTILE = 95;
const MODEL = 'small';
const SECRET = 'path-bench-secret';

const DECLARATIONS = [
  '{ kind: organisation, name: bench, spec: { rate: { requestsPerSecond: 5000, burst: 5000 } } }',
  `{ kind: key, name: bench-key, spec: { organisation: bench, digest: "${computeKeyDigest(SECRET)}" } }`,
  `{ kind: route, name: chat, spec: { path: /v1/chat/completions, idempotent: true,
     service: { kind: model, models: [${MODEL}] }, targets: [engine-1, engine-2] } }`,
].join('\n---\n');

const createBody = (index: number): string =>
  JSON.stringify({
    model: MODEL,
    stream: true,
    max_tokens: 4,
    messages: [{ role: 'user', content: `call ${index} [output=4]` }],
  });

/** Resolves to the time until the first bytes of a streamed response, in milliseconds. */
const measureFirstToken = async (address: string, index: number): Promise<number> => {
  const startedAt = performance.now();
  const response = await request(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${SECRET}`, 'content-type': 'application/json' },
    body: createBody(index),
  });
  let elapsed = 0;
  for await (const bytes of response.body) {
    if (elapsed === 0 && (bytes as Buffer).length > 0) elapsed = performance.now() - startedAt;
  }
  return elapsed;
};

const getPercentileMilliseconds = (histogram: Histogram, percentile: number): number =>
  histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;

/**
 * `bench path`: time to the first token through limpetnotch and of direct calls, which alternate in
 * one run.
 */
export class PathCommand extends Command {
  static override paths = [['path']];

  readonly calls = Option.String('--calls', '400');

  async execute(): Promise<number> {
    const fleet = await LocalFleet.start({
      instances: 4,
      engines: 2,
      engineSettings: { models: [MODEL], tokensPerSecond: 200 },
      declarations: DECLARATIONS,
    });
    const [direct, through] = [build(), build()];
    for (let index = 0; index < Number(this.calls); index += 1) {
      const engine = fleet.engines[index % 2]?.server.address ?? '';
      const entry = fleet.instances[index % fleet.instances.length]?.address ?? '';
      direct.recordValue(
        Math.round((await measureFirstToken(engine, index)) * MICROSECONDS_PER_MILLISECOND),
      );
      through.recordValue(
        Math.round((await measureFirstToken(entry, index)) * MICROSECONDS_PER_MILLISECOND),
      );
    }
    await fleet.stop();
    const added =
      getPercentileMilliseconds(through, PERCENTILE) -
      getPercentileMilliseconds(direct, PERCENTILE);
    this.context.stdout.write(`${PathCommand.#table(direct, through)}\n`);
    const verdict = added <= MAXIMUM_ADDED_MILLISECONDS ? 'met' : 'MISSED';
    this.context.stdout.write(
      `${verdict}: p95 ${added.toFixed(1)} ms later (bound ${MAXIMUM_ADDED_MILLISECONDS} ms)\n`,
    );
    return added <= MAXIMUM_ADDED_MILLISECONDS ? 0 : 1;
  }

  static #table(direct: Histogram, through: Histogram): string {
    const row = (name: string, histogram: Histogram): readonly string[] => [
      name,
      getPercentileMilliseconds(histogram, 50).toFixed(1),
      getPercentileMilliseconds(histogram, PERCENTILE).toFixed(1),
      getPercentileMilliseconds(histogram, 99).toFixed(1),
    ];
    return formatTable([
      ['first token, ms', 'p50', 'p95', 'p99'],
      row('direct', direct),
      row('through limpetnotch', through),
    ]);
  }
}
