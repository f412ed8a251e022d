import { isMap, isNode, isScalar } from 'yaml';
import type { Document, LineCounter } from 'yaml';

/** Finds the lines of a YAML document's values. */
export class DocumentLines {
  readonly #document: Document.Parsed;

  readonly #lineCounter: LineCounter;

  constructor(document: Document.Parsed, lineCounter: LineCounter) {
    this.#document = document;
    this.#lineCounter = lineCounter;
  }

  /** Returns the line of an offset in the file. */
  lineAt(offset: number): number {
    return this.#lineCounter.linePos(offset).line;
  }

  /** Returns the line of the document's first value. */
  first(): number {
    return this.lineAt(this.#document.contents?.range[0] ?? this.#document.range[0]);
  }

  /** Returns the line of the value at a path, or that of the deepest part of it that exists. */
  at(path: readonly PropertyKey[]): number {
    for (let { length } = path; length > 0; length -= 1) {
      const offset = this.#offsetOf(path.slice(0, length));
      if (offset !== undefined) return this.lineAt(offset);
    }
    return this.first();
  }

  /** The offset of a mapping's key counts, as its value may start on a later line. */
  #offsetOf(path: readonly PropertyKey[]): number | undefined {
    const parent = this.#nodeAt(path.slice(0, -1));
    if (!isMap(parent)) {
      const node = this.#nodeAt(path);
      return isNode(node) ? node.range?.[0] : undefined;
    }
    const pair = parent.items.find(
      (item) => isScalar(item.key) && item.key.value === path[path.length - 1],
    );
    return isScalar(pair?.key) ? pair.key.range?.[0] : undefined;
  }

  #nodeAt(path: readonly PropertyKey[]): unknown {
    return path.length === 0 ? this.#document.contents : this.#document.getIn(path, true);
  }
}
