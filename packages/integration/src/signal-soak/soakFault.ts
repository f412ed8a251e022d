import type { LinkMode, TargetMode } from '@limpetnotch/stand-ins';

/** Signals sent to instances; SIGUSR1 is excluded because it starts the runtime's debugger. */
export type SoakSignal =
  'SIGTERM' | 'SIGHUP' | 'SIGINT' | 'SIGUSR2' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** Cuts instances off from all targets for a while. */
export interface InstanceCut {
  readonly kind: 'instance-cut';
  readonly instances: readonly number[];
  readonly mode: Exclude<LinkMode, 'open'>;
  readonly forMilliseconds: number;
}

/** One fault that a soak applies to the fleet. */
export type SoakFault =
  | { readonly kind: 'signal'; readonly instance: number; readonly signal: SoakSignal }
  /** Kills the instance and signals its next process after the given processor time. */
  | {
      readonly kind: 'signal-at-start';
      readonly instance: number;
      readonly signal: SoakSignal;
      readonly processorMilliseconds: number;
    }
  | { readonly kind: 'settings'; readonly instance: number }
  | { readonly kind: 'target-mode'; readonly target: number; readonly mode: TargetMode }
  | {
      readonly kind: 'target-crash' | 'target-leave';
      readonly target: number;
      readonly awayMilliseconds: number;
      /** Whether the next incarnation listens at the same address. */
      readonly keepsAddress: boolean;
    }
  /** Makes a target name a limit on its requests per second; undefined ends it. */
  | {
      readonly kind: 'target-limit';
      readonly target: number;
      readonly requestsPerSecond: number | undefined;
    }
  | InstanceCut
  | { readonly kind: 'configuration' }
  /** A caller repeats one request, which crashes every target that runs it. */
  | {
      readonly kind: 'crashing-request';
      readonly route: string;
      readonly forMilliseconds: number;
    };

/** A fault with its time from the start of the traffic. */
export interface PlannedFault {
  readonly atMilliseconds: number;
  readonly fault: SoakFault;
}
