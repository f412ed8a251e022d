import type { ProcessSignals } from '@limpetnotch/supervision';
import { untilAborted } from '@limpetnotch/supervision';
import type { BaseContext } from 'clipanion';
import { Command, Option } from 'clipanion';
import type { StandInServer } from '../util/standInServer';

/** A stand-in that a command starts and stops. */
export interface RunningStandIn {
  readonly server: StandInServer;
  start(port: number): Promise<number>;
  stop(): Promise<void>;
}

/** Context of a command, with the signals of its process. */
export interface StandInContext extends BaseContext {
  readonly signals: ProcessSignals;
}

const parsePort = (flag: string, text: string): number => {
  const port = Number(text);
  if (Number.isInteger(port) && port >= 0 && port < 65_536) return port;
  throw new RangeError(`${flag} ${text}: must be an integer from 0 to 65535`);
};

/** Starts a stand-in, prints one JSON line with its port, and stops it on SIGTERM or SIGINT. */
export abstract class StandInCommand extends Command<StandInContext> {
  port = Option.String('--port', '0', { description: 'Port of 127.0.0.1; 0 for any free one' });

  controlPort = Option.String('--control-port', '0', {
    description: 'Port that serves the control paths also while the other refuses connections',
  });

  async execute(): Promise<void> {
    const { signals } = this.context;
    await signals.receivePending();
    if (signals.stopping.aborted) return;
    const standIn = this.create();
    const port = await standIn.start(parsePort('--port', this.port));
    const controlPort = await standIn.server.startFurther(
      parsePort('--control-port', this.controlPort),
    );
    this.context.stdout.write(`${JSON.stringify({ ready: true, port, controlPort })}\n`);
    signals.markServing();
    await untilAborted(signals.stopping);
    await standIn.stop();
    signals.markEnded();
  }

  protected abstract create(): RunningStandIn;
}
