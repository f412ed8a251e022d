import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { Forwarding } from '../../src/forwarding/forwarding';
import { callEnvelope } from '../support/callEnvelope';
import { fleetTarget } from '../support/fleetTarget';

const ZONES: Readonly<Record<string, string | undefined>> = {
  near: 'a',
  far: 'b',
  earlier: undefined,
};

/** Sends a request that may pass through instances in some availability zones. */
const forward = async (allowedZones: readonly string[]) => {
  const asked: string[] = [];
  const forwarding = new Forwarding({
    peers: {
      names: Object.keys(ZONES),
      async *forward(name) {
        asked.push(name);
        yield { kind: 'failure', failure: 'declined', detail: 'full' } as const;
      },
    },
    availabilityZone: 'a',
    availabilityZoneOf: (name) => ZONES[name],
    logger: silentLogger,
    metrics: new MemoryMetrics(),
  });
  const target = fleetTarget({ id: 't', availabilityZone: 'a' });
  const exchange = forwarding.send(target, {
    createRequest: () => ({
      target,
      envelope: callEnvelope({}),
      body: Buffer.from('body'),
      remainingMilliseconds: 1_000,
      organisation: undefined,
      priority: undefined,
      isRepeat: false,
    }),
    mayPassThrough: (zone) => zone !== undefined && allowedZones.includes(zone),
    onForwarder: () => undefined,
  });
  const head = await exchange.head;
  return { asked, isSent: head.isOk() || exchange.wasSent };
};

test('a request passes only through instances in the zones that it may reach', async () => {
  expect((await forward(['b'])).asked).toEqual(['far']);
  expect((await forward(['a', 'b'])).asked).toEqual(['near', 'far']);
});

// The body must not leave its regions, even if that means that the request is not served.
test('a request that may pass through no instance is not sent', async () => {
  expect(await forward([])).toEqual({ asked: [], isSent: false });
});
