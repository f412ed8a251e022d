const SEPARATOR = '/';

/** Functions for program paths, such as `survey-17/estimate-1`. */
export const programPath = {
  /** Returns the first part of a path. */
  root: (path: string): string => path.split(SEPARATOR, 1)[0] ?? path,

  /** Returns the path of the parent; `undefined` for a root program. */
  parent: (path: string): string | undefined => {
    const end = path.lastIndexOf(SEPARATOR);
    return end < 0 ? undefined : path.slice(0, end);
  },

  /** Returns whether a path is the ancestor itself or one of its descendants. */
  isWithin: (path: string, ancestor: string): boolean =>
    path === ancestor || path.startsWith(`${ancestor}${SEPARATOR}`),
};
