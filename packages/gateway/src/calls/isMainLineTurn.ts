import type { CallEnvelope } from './callEnvelope';

/** Whether a request is a turn of its program's main session, and so may be the program's first. */
export const isMainLineTurn = ({ program, prompt }: CallEnvelope): boolean =>
  program !== undefined &&
  prompt !== undefined &&
  (program.session === undefined || program.session === program.id);
