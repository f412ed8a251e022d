import { PLATFORM_PORTS } from '@limpetnotch/stand-ins';
import { CrowdConnections } from './crowdConnections';
import type { CrowdLimits } from './crowdInstance';
import { CrowdInstance } from './crowdInstance';
import type { CrowdPattern, CrowdPlace } from './crowdPatterns';

const SAMPLE_MILLISECONDS = 20;

/** What a crowd did to the process. */
export interface CrowdResult {
  readonly isRunning: boolean;
  /** Highest resident memory of the process that was seen, in bytes. */
  readonly peakBytes: number;
  /** Highest number of descriptors seen open at once. */
  readonly descriptors: number;
  /** Whether an ordinary request was answered while the crowd's connections were still open. */
  readonly isServing: boolean;
  /** The end of the process's output. */
  readonly output: string;
}

/** Options of {@link runCrowd}. */
export interface CrowdOptions {
  readonly program: string;
  readonly pattern: CrowdPattern;
  readonly place: CrowdPlace;
  readonly port: keyof typeof PLATFORM_PORTS;
  readonly limits: CrowdLimits;
}

/** Lets one crowd send to a process of its own. */
export const runCrowd = async (options: CrowdOptions): Promise<CrowdResult> => {
  const { program, pattern, place, port, limits } = options;
  const instance = new CrowdInstance(program, limits);
  const crowd = new CrowdConnections();
  let descriptors = 0;
  let peakBytes = 0;
  const sample = async (): Promise<void> => {
    descriptors = Math.max(descriptors, await instance.countDescriptors());
    peakBytes = Math.max(peakBytes, await instance.readResidentBytes());
  };
  let sampler: NodeJS.Timeout | undefined;
  try {
    await instance.start();
    sampler = setInterval(() => {
      void sample();
    }, SAMPLE_MILLISECONDS);
    const sockets = await crowd.open(instance.host, PLATFORM_PORTS[port], pattern.connections);
    await pattern.send(sockets, place);
    await crowd.waitUntilSettled();
    const isServing = await instance.isServing();
    await sample();
    const { hasExited, output } = instance;
    return { isRunning: !hasExited, peakBytes, descriptors, isServing, output };
  } finally {
    clearInterval(sampler);
    crowd.close();
    await instance.stop();
  }
};
