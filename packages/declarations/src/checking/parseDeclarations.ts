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

interface Reading {
  readonly objects: ParsedObject[];
  readonly faults: Fault[];
}

const tooLarge = (file: string, message: string): Fault => ({
  file,
  line: 1,
  object: 'file',
  problem: 'too-large',
  message,
  cure: 'split the set, or remove what is not needed',
});

const unreadable = (file: string, line: number, error: unknown): Fault => ({
  file,
  line,
  object: 'file',
  problem: 'invalid-yaml',
  message:
    error instanceof RangeError
      ? 'values are nested too deeply'
      : `not readable as YAML: ${error instanceof Error ? error.message : String(error)}`,
  cure: 'write plain YAML documents of kind, name and spec',
});

const readFile = (file: DeclarationFile, reading: Reading): void => {
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
    if (parsed.object) reading.objects.push(parsed.object);
    reading.faults.push(...parsed.faults);
    if (reading.objects.length > MAXIMUM_OBJECTS) {
      reading.faults.push(tooLarge(file.path, `more than ${MAXIMUM_OBJECTS} objects`));
      return;
    }
  }
};

/**
 * Reads files of YAML documents into declared objects. A document with faults is reported and the
 * reading goes on; limits on bytes, objects, aliases and depth hold off hostile files.
 */
export const parseDeclarations = (files: readonly DeclarationFile[]): ParsedDeclarations => {
  const reading: Reading = { objects: [], faults: [] };
  let totalBytes = 0;
  for (const file of files) {
    const bytes = Buffer.byteLength(file.text);
    totalBytes += bytes;
    if (bytes > MAXIMUM_FILE_BYTES || totalBytes > MAXIMUM_TOTAL_BYTES) {
      reading.faults.push(
        tooLarge(
          file.path,
          `${bytes} bytes, ${totalBytes} in all; at most ${MAXIMUM_FILE_BYTES} a file and ${MAXIMUM_TOTAL_BYTES} in all`,
        ),
      );
    } else {
      try {
        readFile(file, reading);
      } catch (error) {
        reading.faults.push(unreadable(file.path, 1, error));
      }
    }
  }
  return reading;
};
