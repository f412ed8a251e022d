import { Command, Option } from 'clipanion';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { request } from 'undici';
import { computeKeyDigest, LocalFleet } from '../fleet/localFleet';
import { formatTable } from '../quickstart/formatTable';

const BOUND_MILLISECONDS = 9;
const MICROSECONDS = 1_000;
const PERCENTILE = 95;
const MODEL = 'small';
const SECRET = 'path-bench-secret';

const DECLARATIONS = [
  '{ kind: organisation, name: bench, spec: { rate: { requestsPerSecond: 5000, burst: 5000 } } }',
  `{ kind: key, name: bench-key, spec: { organisation: bench, digest: "${computeKeyDigest(SECRET)}" } }`,
  `{ kind: route, name: chat, spec: { path: /v1/chat/completions, idempotent: true,
     service: { kind: model, models: [${MODEL}] }, targets: [engine-1, engine-2] } }`,
].join('\n---\n');

const body = (index: number): string =>
  JSON.stringify({
    model: MODEL,
    stream: true,
    max_tokens: 4,
    messages: [{ role: 'user', content: `call ${index} [output=4]` }],
  });

/** Returns the time to the first bytes of a streamed answer, in milliseconds. */
const firstToken = async (address: string, index: number): Promise<number> => {
  const startedAt = performance.now();
  const answer = await request(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${SECRET}`, 'content-type': 'application/json' },
    body: body(index),
  });
  let elapsed = 0;
  for await (const bytes of answer.body) {
    if (elapsed === 0 && (bytes as Buffer).length > 0) elapsed = performance.now() - startedAt;
  }
  return elapsed;
};

const at = (histogram: Histogram, percentile: number): number =>
  histogram.getValueAtPercentile(percentile) / MICROSECONDS;

/** `bench path`: first token through limpetnotch against a direct call, in turn, in one run. */
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
      direct.recordValue(Math.round((await firstToken(engine, index)) * MICROSECONDS));
      through.recordValue(Math.round((await firstToken(entry, index)) * MICROSECONDS));
    }
    await fleet.stop();
    const added = at(through, PERCENTILE) - at(direct, PERCENTILE);
    this.context.stdout.write(`${PathCommand.#table(direct, through)}\n`);
    const verdict = added <= BOUND_MILLISECONDS ? 'met' : 'MISSED';
    this.context.stdout.write(
      `${verdict}: p95 ${added.toFixed(1)} ms later (bound ${BOUND_MILLISECONDS} ms)\n`,
    );
    return added <= BOUND_MILLISECONDS ? 0 : 1;
  }

  static #table(direct: Histogram, through: Histogram): string {
    const row = (name: string, histogram: Histogram): readonly string[] => [
      name,
      at(histogram, 50).toFixed(1),
      at(histogram, PERCENTILE).toFixed(1),
      at(histogram, 99).toFixed(1),
    ];
    return formatTable([
      ['first token, ms', 'p50', 'p95', 'p99'],
      row('direct', direct),
      row('through limpetnotch', through),
    ]);
  }
}
