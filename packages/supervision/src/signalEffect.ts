/**
 * State of a long-running process. In the state `ended` the work is finished, and the process closes
 * its resources before it exits.
 */
export type ProcessState = 'starting' | 'serving' | 'reloading' | 'draining' | 'ended';

/** Meaning of a signal for a program. */
export type SignalMeaning = 'stop' | 'reload' | 'none';

/** Effect of a signal in the current state of the process. */
export type SignalEffect =
  | { readonly kind: 'stop' }
  | { readonly kind: 'reload' }
  /** The settings are reloaded once the process is serving. */
  | { readonly kind: 'reload-after-start' }
  /** The settings are reloaded once more after the current reload. */
  | { readonly kind: 'reload-again' }
  | { readonly kind: 'none' };

const getReloadEffect = (state: ProcessState): SignalEffect => {
  switch (state) {
    case 'starting':
      return { kind: 'reload-after-start' };
    case 'serving':
      return { kind: 'reload' };
    case 'reloading':
      return { kind: 'reload-again' };
    case 'draining':
    case 'ended':
      return { kind: 'none' };
    default:
      return state satisfies never;
  }
};

const getStopEffect = (state: ProcessState): SignalEffect => {
  switch (state) {
    case 'starting':
    case 'serving':
    case 'reloading':
      return { kind: 'stop' };
    case 'draining':
    case 'ended':
      return { kind: 'none' };
    default:
      return state satisfies never;
  }
};

/** Returns the effect of a signal by its meaning and the state of the process. */
export const getSignalEffect = (meaning: SignalMeaning, state: ProcessState): SignalEffect => {
  switch (meaning) {
    case 'stop':
      return getStopEffect(state);
    case 'reload':
      return getReloadEffect(state);
    case 'none':
      return { kind: 'none' };
    default:
      return meaning satisfies never;
  }
};
