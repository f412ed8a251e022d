/**
 * State of a long-running process; `ended`: its work is over, and it closes what it holds before it
 * exits.
 */
export type ProcessState = 'starting' | 'serving' | 'reloading' | 'draining' | 'ended';

/** What a signal means to a program. */
export type SignalMeaning = 'stop' | 'reload' | 'none';

/** What a signal causes. */
export type SignalEffect =
  | { readonly kind: 'stop' }
  | { readonly kind: 'reload' }
  /** The settings are read anew once the process serves. */
  | { readonly kind: 'reload-after-start' }
  /** The settings are read once more after the read that is under way. */
  | { readonly kind: 'reload-again' }
  | { readonly kind: 'none' };

const reloadEffect = (state: ProcessState): SignalEffect => {
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

const stopEffect = (state: ProcessState): SignalEffect => {
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

/** Returns what a signal of a meaning causes in a state. */
export const signalEffect = (meaning: SignalMeaning, state: ProcessState): SignalEffect => {
  switch (meaning) {
    case 'stop':
      return stopEffect(state);
    case 'reload':
      return reloadEffect(state);
    case 'none':
      return { kind: 'none' };
    default:
      return meaning satisfies never;
  }
};
