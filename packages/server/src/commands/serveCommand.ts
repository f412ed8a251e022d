import type { ProcessSignals } from '@limpetnotch/supervision';
import type { BaseContext } from 'clipanion';
import { Command, Option } from 'clipanion';
import { parseSettings } from '../parseSettings';
import { runInstance } from '../runInstance';

const EXIT_USAGE_ERROR = 2;

const defineSetting = (flag: string, variable: string, description: string): string | undefined =>
  Option.String(flag, { env: variable, description });

/** Context of a command, with the signals of its process. */
export interface ServerContext extends BaseContext {
  readonly signals: ProcessSignals;
}

/** Runs one instance until it receives a stop signal. */
export class ServeCommand extends Command<ServerContext> {
  static override paths = [Command.Default, ['serve']];

  static override usage = Command.Usage({
    description: 'Run one instance of limpetnotch.',
    details: `
      Serves callers on the entry address and other instances on the peer address until SIGTERM or
      SIGINT, after which it completes the requests in progress and hands over its partitions. Exit
      codes: 0 after a graceful shutdown, 1 after a failure, 2 for invalid settings.
    `,
    examples: [
      [
        'Run an instance in availability zone a',
        'limpetnotchd --instance entry-1 --availability-zone a --entry-port 8080 --peer-port 7080 --store http://10.0.0.5:2379',
      ],
    ],
  });

  instance = defineSetting('--instance', 'LIMPETNOTCH_INSTANCE', 'Name of the instance');

  availabilityZone = defineSetting(
    '--availability-zone',
    'LIMPETNOTCH_AVAILABILITY_ZONE',
    'Availability zone of the instance',
  );

  entryHost = defineSetting(
    '--entry-host',
    'LIMPETNOTCH_ENTRY_HOST',
    'Host for callers; 127.0.0.1',
  );

  entryPort = defineSetting('--entry-port', 'LIMPETNOTCH_ENTRY_PORT', 'Port for callers');

  peerHost = defineSetting('--peer-host', 'LIMPETNOTCH_PEER_HOST', 'Host for instances; 127.0.0.1');

  peerPort = defineSetting('--peer-port', 'LIMPETNOTCH_PEER_PORT', 'Port for instances');

  store = defineSetting('--store', 'LIMPETNOTCH_STORE', "Addresses of the platform's store");

  leaseSeconds = defineSetting(
    '--lease-seconds',
    'LIMPETNOTCH_LEASE_SECONDS',
    'Lease of the instance in seconds; 3',
  );

  fleetWritesPerSecond = defineSetting(
    '--fleet-writes-per-second',
    'LIMPETNOTCH_FLEET_WRITES_PER_SECOND',
    'Journal writes per second of the whole fleet; 200',
  );

  maximumBodyBytes = defineSetting(
    '--maximum-body-bytes',
    'LIMPETNOTCH_MAXIMUM_BODY_BYTES',
    'Maximum size of a request body in bytes; 4194304',
  );

  drainSeconds = defineSetting(
    '--drain-seconds',
    'LIMPETNOTCH_DRAIN_SECONDS',
    'Seconds between failing readiness and the handover; 2',
  );

  operatorToken = defineSetting(
    '--operator-token',
    'LIMPETNOTCH_OPERATOR_TOKEN',
    'Secret of the operators',
  );

  statsd = defineSetting('--statsd', 'LIMPETNOTCH_STATSD', 'Host and port of a StatsD collector');

  traces = defineSetting('--traces', 'LIMPETNOTCH_TRACES', 'Address of an OTLP collector');

  logLevel = defineSetting(
    '--log-level',
    'LIMPETNOTCH_LOG_LEVEL',
    'debug, info, warn or error; info',
  );

  override async execute(): Promise<number> {
    const settings = parseSettings(this.#collectSettings());
    if (settings.isErr()) {
      settings.error.forEach((line) => this.context.stderr.write(`limpetnotchd: ${line}\n`));
      return EXIT_USAGE_ERROR;
    }
    return runInstance(settings.value, this.context.signals);
  }

  #collectSettings(): Readonly<Record<string, string>> {
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
