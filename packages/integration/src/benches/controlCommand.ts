import { create } from '@bufbuild/protobuf';
import {
  ControlResponseSchema,
  HeartbeatSchema,
  MemberSchema,
  PeerClient,
  PeerServer,
} from '@limpetnotch/peer-protocol';
import type { ControlMessage } from '@limpetnotch/peer-protocol';
import { Command, Option } from 'clipanion';
import { formatTable } from '../quickstart/formatTable';

const CONCURRENCY = 32;
const MILLISECONDS_PER_SECOND = 1_000;

/** Processor time of one exchange, summed over both ends. */
interface ExchangeCost {
  readonly name: string;
  readonly microseconds: number;
  readonly perSecond: number;
}

const createHeartbeat = (): ControlMessage => ({
  case: 'heartbeat',
  value: create(HeartbeatSchema, {
    member: create(MemberSchema, {
      instance: 'entry-123',
      incarnation: '1211ba7a-1160-4ac3-9948-87a2f8767f47',
      peerAddress: '10.0.0.123:7080',
      availabilityZone: 'zone-a',
    }),
    configurationRevision: 910,
    storeReachable: true,
  }),
});

const measureExchange = async (
  name: string,
  count: number,
  exchange: () => Promise<unknown>,
): Promise<ExchangeCost> => {
  const startedAt = performance.now();
  const startedCpu = process.cpuUsage();
  for (let sent = 0; sent < count; sent += CONCURRENCY) {
    await Promise.all(Array.from({ length: CONCURRENCY }, exchange));
  }
  const { user, system } = process.cpuUsage(startedCpu);
  const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  return { name, microseconds: (user + system) / count, perSecond: count / seconds };
};

/** `bench control`: processor time of messages between instances; both ends run in this process. */
export class ControlCommand extends Command {
  static override paths = [['control']];

  readonly count = Option.String('--count', '20000');

  async execute(): Promise<number> {
    const server = await PeerServer.start({
      host: '127.0.0.1',
      port: 0,
      service: {
        async *control(requests) {
          for await (const { id, message } of requests) {
            yield create(ControlResponseSchema, { id, message } as never);
          }
        },
        cancelCall: () => ({ found: false }),
      },
    });
    const client = new PeerClient(`127.0.0.1:${server.port}`);
    const count = Number(this.count);
    const unary = async (): Promise<unknown> => client.service.cancelCall({ relayId: 'x' });
    const streamed = async (): Promise<unknown> => client.exchange(createHeartbeat());
    await measureExchange('warm-up', count / 4, streamed);
    const costs = [
      await measureExchange('heartbeat on the control stream', count, streamed),
      await measureExchange('unary call', count / 4, unary),
    ];
    this.context.stdout.write(`${ControlCommand.#table(costs)}\n`);
    client.close();
    await server.close();
    return 0;
  }

  static #table(costs: readonly ExchangeCost[]): string {
    return formatTable([
      ['exchange', 'us of processor, both ends', 'a second'],
      ...costs.map(({ name, microseconds, perSecond }) => [
        name,
        microseconds.toFixed(1),
        perSecond.toFixed(0),
      ]),
    ]);
  }
}
