import { Composer, LineCounter, Parser } from 'yaml';
import type { Document } from 'yaml';
import type { DeclarationFile } from './declarationFile';
import { DocumentLines } from './documentLines';
import type { Fault } from './fault';
import { parseDocument } from './parseDocument';
import type { ParsedDeclarations, ParsedObject } from './parsedObject';

const MAXIMUM_FILE_BYTES = 32 * 1024 * 1024;
const MAXIMUM_TOTAL_BYTES = 64 * 1024 * 1024;
const MAXIMUM_OBJECTS = 250_000;

interface ParseResult {
  readonly objects: ParsedObject[];
  readonly faults: Fault[];
}

const createTooLargeFault = (file: string, message: string): Fault => ({
  file,
  line: 1,
  object: 'file',
  problem: 'too-large',
  message,
  cure: 'split the set, or remove objects that are not needed',
});

const createUnreadableFault = (file: string, line: number, error: unknown): Fault => ({
  file,
  line,
  object: 'file',
  problem: 'invalid-yaml',
  message:
    error instanceof RangeError
      ? 'values are nested too deeply'
      : `the file is not valid YAML: ${error instanceof Error ? error.message : String(error)}`,
  cure: 'write plain YAML documents with kind, name and spec',
});

const parseFile = (file: DeclarationFile, result: ParseResult): void => {
  const lineCounter = new LineCounter();
  const parser = new Parser(lineCounter.addNewLine);
  const composer = new Composer({
    version: '1.2',
    schema: 'core',
    merge: false,
    logLevel: 'error',
  });
  const documents = composer.compose(parser.parse(file.text)) as Iterable<Document.Parsed>;
  let position = 0;
  for (const document of documents) {
    position += 1;
    const lines = new DocumentLines(document, lineCounter);
    const parsed = parseDocument({ file: file.path, position, document, lines });
    if (parsed.object) result.objects.push(parsed.object);
    result.faults.push(...parsed.faults);
    if (result.objects.length > MAXIMUM_OBJECTS) {
      result.faults.push(createTooLargeFault(file.path, `more than ${MAXIMUM_OBJECTS} objects`));
      return;
    }
  }
};

/**
 * Parses files of YAML documents into declared objects. Parsing continues after a document with
 * faults. Limits on bytes, objects, aliases and depth protect against hostile files.
 */
export const parseDeclarations = (files: readonly DeclarationFile[]): ParsedDeclarations => {
  const result: ParseResult = { objects: [], faults: [] };
  let totalBytes = 0;
  for (const file of files) {
    const bytes = Buffer.byteLength(file.text);
    totalBytes += bytes;
    if (bytes > MAXIMUM_FILE_BYTES || totalBytes > MAXIMUM_TOTAL_BYTES) {
      result.faults.push(
        createTooLargeFault(
          file.path,
          `${bytes} bytes, ${totalBytes} in total; the limits are ${MAXIMUM_FILE_BYTES} per file and ${MAXIMUM_TOTAL_BYTES} in total`,
        ),
      );
    } else {
      try {
        parseFile(file, result);
      } catch (error) {
        result.faults.push(createUnreadableFault(file.path, 1, error));
      }
    }
  }
  return result;
};
