import type { RequestListener } from 'node:http';
import { SeededRandom } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { DrainingInstance } from '../support/drainingInstance';
import { KeepAliveConnection } from '../support/keepAliveConnection';
import type { CallerOutcome } from '../support/keepAliveConnection';

const SIGNED = { 'x-signed': '1' };
const CALLERS = 12;
const LONGEST_PAUSE_MILLISECONDS = 40;
const LONGEST_WORK_MILLISECONDS = 80;
const HANGING_SHARE = 0.1;

/** Some requests of a caller may outlast the grace period. */
const PATIENCE_MILLISECONDS = [300, 900, 10_000] as const;

interface Sent {
  readonly id: string;
  readonly outcome: CallerOutcome;
}

/** Responds to most requests after a delay; never responds to the rest. */
const createTarget =
  (random: SeededRandom): RequestListener =>
  (_request, response) => {
    if (random.chance(HANGING_SHARE)) return;
    setTimeout(
      () => response.writeHead(200, SIGNED).end('ok'),
      random.fraction() * LONGEST_WORK_MILLISECONDS,
    );
  };

/** Sends sequential requests on a persistent connection until no connection can be opened. */
const callUntilGone = async (port: number, name: string, random: SeededRandom): Promise<Sent[]> => {
  const caller = new KeepAliveConnection(port);
  const sent: Sent[] = [];
  for (;;) {
    const id = `${name}-${sent.length}`;
    const patienceMilliseconds = random.pick(PATIENCE_MILLISECONDS);
    const outcome = await caller.send({ id, patienceMilliseconds });
    sent.push({ id, outcome });
    if (outcome.kind === 'not-connected') break;
    await delay(random.fraction() * LONGEST_PAUSE_MILLISECONDS);
  }
  caller.close();
  return sent;
};

/** Returns the requests that reached the target and whose callers got no response. */
const findLost = async (seed: number): Promise<readonly Sent[]> => {
  const random = new SeededRandom(seed);
  const instance = await DrainingInstance.start({
    target: createTarget(random),
    times: { readinessLagMilliseconds: 200 },
    route: { execution: { kind: 'at-most-once' } },
  });
  const callers = Array.from({ length: CALLERS }, (_, index) =>
    callUntilGone(instance.port, `c${index}`, random),
  );
  while (instance.receivedRequestIds.size < 2 * CALLERS) await delay(5);
  await instance.shutDown();
  const sent = (await Promise.all(callers)).flat();
  await instance.close();
  return sent.filter(
    ({ id, outcome }) => outcome.kind !== 'answered' && instance.receivedRequestIds.has(id),
  );
};

test('steady traffic over persistent connections loses no request until the process exits', async () => {
  const lost: Sent[] = [];
  for (const seed of [1, 2, 3, 4]) lost.push(...(await findLost(seed)));
  expect(lost).toEqual([]);
}, 60_000);
