import type { ConfigurationRoot } from '../format/configurationRoot';
import type { PublishError } from './publishError';

/** Builds the error of a publish whose base is not current any more. */
export const conflictWith = (
  baseRevision: number,
  root: ConfigurationRoot | undefined,
): PublishError => ({
  kind: 'conflict',
  baseRevision,
  currentRevision: root?.revision ?? 0,
  author: root?.author ?? 'nobody',
  publishedAt: root?.publishedAt ?? 'never',
});
