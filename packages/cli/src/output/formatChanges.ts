import type { ConfigurationChange } from '@limpetnotch/declarations';
import { formatTable } from './formatTable';

/** Formats changes of a configuration as a table; returns no lines if there are none. */
export const formatChanges = (changes: readonly ConfigurationChange[]): string[] =>
  changes.length === 0
    ? []
    : formatTable(
        ['CHANGE', 'OBJECT', 'FIELDS'],
        changes.map(({ change, kind, name, fields }) => [
          change,
          `${kind}/${name}`,
          fields.join(', '),
        ]),
      );
