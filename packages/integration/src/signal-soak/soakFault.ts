import type { TargetMode } from '@limpetnotch/stand-ins';

/** Signals that reach an instance; SIGUSR1 is left out, as it starts the runtime's debugger. */
export type SoakSignal =
  'SIGTERM' | 'SIGHUP' | 'SIGINT' | 'SIGUSR2' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** One act of a soak upon the fleet. */
export type SoakFault =
  | { readonly kind: 'signal'; readonly instance: number; readonly signal: SoakSignal }
  /** Kills the instance and signals its next process when that has used so much processor time. */
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
      /** Whether its next life listens at the same address. */
      readonly keepsAddress: boolean;
    }
  | { readonly kind: 'configuration' }
  /** A caller sends one request again and again, which crashes every target that runs it. */
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
