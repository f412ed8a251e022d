import fc from 'fast-check';
import type { RequestListener } from 'node:http';
import { runOwnedCall } from '../support/runOwnedCall';

/** What a target does with a call; it runs the call unless it declines or breaks off before. */
type TargetStep =
  'answers' | 'breaks' | 'breaks-before' | 'cuts-off' | 'declines' | 'fails' | 'hangs' | 'refuses';

const DEADLINE_SECONDS = 0.15;

const scenarioArbitrary = fc.record({
  isIdempotent: fc.boolean(),
  isChat: fc.boolean(),
  steps: fc.array(
    fc.constantFrom<TargetStep>(
      ...(['answers', 'breaks', 'breaks-before', 'cuts-off', 'declines'] as const),
      ...(['declines', 'fails', 'hangs', 'refuses', 'refuses'] as const),
    ),
    { minLength: 1, maxLength: 4 },
  ),
});

type Scenario = typeof scenarioArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const play = async ({ isIdempotent, isChat, steps }: Scenario): Promise<void> => {
  let runs = 0;
  const toHandler =
    (step: TargetStep): RequestListener =>
    (request, response) => {
      if (step !== 'declines' && step !== 'breaks-before') runs += 1;
      switch (step) {
        case 'answers':
          response.end('{}');
          break;
        case 'breaks':
        case 'breaks-before':
          request.socket.destroy();
          break;
        case 'cuts-off':
          response.writeHead(200, { 'content-length': 100 }).write('{');
          setTimeout(() => request.socket.destroy(), 2);
          break;
        case 'declines':
          response.writeHead(503, { 'limpetnotch-executed': 'no' }).end('{}');
          break;
        case 'fails':
          response.writeHead(500).end('{}');
          break;
        case 'hangs':
          break;
        case 'refuses':
          response.writeHead(429).end('{}');
      }
    };
  const targets = steps.map(toHandler);
  const { outcome } = await runOwnedCall({
    isIdempotent,
    isChat,
    targets,
    deadlineSeconds: DEADLINE_SECONDS,
  });
  const executed = outcome?.kind === 'failed' ? outcome.executed : 'yes';
  if (executed === 'no') expect(runs).toBe(0);
  if (!isIdempotent) expect(runs).toBeLessThanOrEqual(1);
};

// Guards against a statement that a call was not executed without proof for each attempt.
test('a call that is reported as not executed has not run', async () => {
  await fc.assert(fc.asyncProperty(scenarioArbitrary, play), { seed: 66, numRuns: 150 });
}, 60_000);
