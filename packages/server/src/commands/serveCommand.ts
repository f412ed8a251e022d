import type { ProcessSignals } from '@limpetnotch/supervision';
import type { BaseContext } from 'clipanion';
import { Command, Option } from 'clipanion';
import { parseSettings } from '../parseSettings';
import { runInstance } from '../runInstance';

const EXIT_WRONG_USAGE = 2;

const setting = (flag: string, variable: string, description: string): string | undefined =>
  Option.String(flag, { env: variable, description });

/** What a command is given of the process that it runs in. */
export interface ServerContext extends BaseContext {
  readonly signals: ProcessSignals;
}

/** Runs one instance until it is told to stop. */
export class ServeCommand extends Command<ServerContext> {
  static override paths = [Command.Default, ['serve']];

  static override usage = Command.Usage({
    description: 'Run one instance of limpetnotch.',
    details: `
      Serves callers on the entry address and other instances on the peer address until SIGTERM or
      SIGINT, after which it hands over its work and cuts off no request. Exit codes: 0 after a
      graceful shutdown, 1 after a failure, 2 for wrong settings.
    `,
    examples: [
      [
        'Run an instance in zone a',
        'limpetnotchd --instance entry-1 --availability-zone a --entry-port 8080 --peer-port 7080 --store http://10.0.0.5:2379',
      ],
    ],
  });

  instance = setting('--instance', 'LIMPETNOTCH_INSTANCE', 'Name of the instance');

  availabilityZone = setting(
    '--availability-zone',
    'LIMPETNOTCH_AVAILABILITY_ZONE',
    'Availability zone of the instance',
  );

  entryHost = setting('--entry-host', 'LIMPETNOTCH_ENTRY_HOST', 'Host for callers; 127.0.0.1');

  entryPort = setting('--entry-port', 'LIMPETNOTCH_ENTRY_PORT', 'Port for callers');

  peerHost = setting('--peer-host', 'LIMPETNOTCH_PEER_HOST', 'Host for instances; 127.0.0.1');

  peerPort = setting('--peer-port', 'LIMPETNOTCH_PEER_PORT', 'Port for instances');

  store = setting('--store', 'LIMPETNOTCH_STORE', "Addresses of the platform's store");

  leaseSeconds = setting(
    '--lease-seconds',
    'LIMPETNOTCH_LEASE_SECONDS',
    'Lease of the instance; 3',
  );

  fleetWritesPerSecond = setting(
    '--fleet-writes-per-second',
    'LIMPETNOTCH_FLEET_WRITES_PER_SECOND',
    'Journal writes a second of the whole fleet; 200',
  );

  maximumBodyBytes = setting(
    '--maximum-body-bytes',
    'LIMPETNOTCH_MAXIMUM_BODY_BYTES',
    'Largest body of a request; 4194304',
  );

  drainSeconds = setting(
    '--drain-seconds',
    'LIMPETNOTCH_DRAIN_SECONDS',
    'Time between failed readiness and handover; 2',
  );

  operatorToken = setting(
    '--operator-token',
    'LIMPETNOTCH_OPERATOR_TOKEN',
    "Secret of the operators' calls",
  );

  statsd = setting('--statsd', 'LIMPETNOTCH_STATSD', 'Host and port of a StatsD collector');

  traces = setting('--traces', 'LIMPETNOTCH_TRACES', 'Address of an OTLP collector');

  logLevel = setting('--log-level', 'LIMPETNOTCH_LOG_LEVEL', 'debug, info, warn or error; info');

  override async execute(): Promise<number> {
    const settings = parseSettings(this.#given());
    if (settings.isErr()) {
      settings.error.forEach((line) => this.context.stderr.write(`limpetnotchd: ${line}\n`));
      return EXIT_WRONG_USAGE;
    }
    return runInstance(settings.value, this.context.signals);
  }

  #given(): Readonly<Record<string, string>> {
    const values = {
      instance: this.instance,
      availabilityZone: this.availabilityZone,
      entryHost: this.entryHost,
      entryPort: this.entryPort,
      peerHost: this.peerHost,
      peerPort: this.peerPort,
      store: this.store,
      leaseSeconds: this.leaseSeconds,
      fleetWritesPerSecond: this.fleetWritesPerSecond,
      maximumBodyBytes: this.maximumBodyBytes,
      drainSeconds: this.drainSeconds,
      operatorToken: this.operatorToken,
      statsd: this.statsd,
      traces: this.traces,
      logLevel: this.logLevel,
    };
    return Object.fromEntries(
      Object.entries(values).filter((pair): pair is [string, string] => pair[1] !== undefined),
    );
  }
}
