import type { ConfigurationRoot } from '../format/configurationRoot';
import type { PublishError } from './publishError';

/** Builds the error for a publish whose base is no longer the current revision. */
export const createConflictError = (
  baseRevision: number,
  root: ConfigurationRoot | undefined,
): PublishError => ({
  kind: 'conflict',
  baseRevision,
  currentRevision: root?.revision ?? 0,
  author: root?.author ?? 'nobody',
  publishedAt: root?.publishedAt ?? 'never',
});
