import { isMap, isNode, isScalar } from 'yaml';
import type { Document, LineCounter } from 'yaml';

/** Maps the values of a YAML document to line numbers. */
export class DocumentLines {
  readonly #document: Document.Parsed;

  readonly #lineCounter: LineCounter;

  constructor(document: Document.Parsed, lineCounter: LineCounter) {
    this.#document = document;
    this.#lineCounter = lineCounter;
  }

  /** Returns the line that contains an offset of the file. */
  lineAtOffset(offset: number): number {
    return this.#lineCounter.linePos(offset).line;
  }

  /** Returns the line of the document's first value. */
  firstLine(): number {
    return this.lineAtOffset(this.#document.contents?.range[0] ?? this.#document.range[0]);
  }

  /** Returns the line of the value at a path, or of its deepest ancestor that exists. */
  lineAtPath(path: readonly PropertyKey[]): number {
    for (let { length } = path; length > 0; length -= 1) {
      const offset = this.#findOffset(path.slice(0, length));
      if (offset !== undefined) return this.lineAtOffset(offset);
    }
    return this.firstLine();
  }

  /**
   * Returns the offset of a value, or of its key in a mapping, as the value may start on a later
   * line.
   */
  #findOffset(path: readonly PropertyKey[]): number | undefined {
    const parent = this.#getNode(path.slice(0, -1));
    if (!isMap(parent)) {
      const node = this.#getNode(path);
      return isNode(node) ? node.range?.[0] : undefined;
    }
    const pair = parent.items.find(
      (item) => isScalar(item.key) && item.key.value === path[path.length - 1],
    );
    return isScalar(pair?.key) ? pair.key.range?.[0] : undefined;
  }

  #getNode(path: readonly PropertyKey[]): unknown {
    return path.length === 0 ? this.#document.contents : this.#document.getIn(path, true);
  }
}
