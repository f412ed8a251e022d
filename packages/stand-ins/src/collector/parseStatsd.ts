/** One StatsD sample. */
export interface StatsdSample {
  readonly name: string;
  readonly value: number;
  /** Type of the metric, such as `c` for a counter or `g` for a gauge. */
  readonly type: string;
  readonly tags: readonly string[];
}

const SAMPLE = /^([^:|]+):(-?[\d.]+)\|([a-z]+)(?:\|@[\d.]+)?(?:\|#(.*))?$/;

/** Parses the samples of one datagram; skips malformed lines. */
export const parseStatsd = (datagram: string): readonly StatsdSample[] =>
  datagram.split('\n').flatMap((line) => {
    const match = SAMPLE.exec(line);
    if (!match) return [];
    const [, name = '', value = '0', type = '', tags = ''] = match;
    return [{ name, value: Number(value), type, tags: tags === '' ? [] : tags.split(',') }];
  });
