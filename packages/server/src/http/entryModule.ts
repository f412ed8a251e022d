import type { DynamicModule } from '@nestjs/common';
import { Module } from '@nestjs/common';
import type { Admission } from '../entry/admittedCall';
import type { CallDesk } from '../entry/callDesk';
import type { ProgramRequests } from '../entry/programRequests';
import { CallController } from './callController';
import { HealthController } from './healthController';
import { OperatorController } from './operatorController';
import type { OperatorDesk } from './operatorDesk';
import { ProgramController } from './programController';
import type { Readiness } from './readiness';
import { ADMISSION, CALL_DESK, OPERATOR_DESK, PROGRAM_REQUESTS, READINESS } from './tokens';

/** Parts of the instance that the controllers call. */
export interface EntryParts {
  readonly calls: CallDesk;
  readonly programs: ProgramRequests;
  readonly admission: Admission;
  readonly readiness: Readiness;
  readonly operator: OperatorDesk;
}

/** Nest module of the HTTP side. */
@Module({})
export class EntryModule {
  /** Builds the module around the parts of one instance. */
  static with(parts: EntryParts): DynamicModule {
    return {
      module: EntryModule,
      controllers: [HealthController, OperatorController, ProgramController, CallController],
      providers: [
        { provide: CALL_DESK, useValue: parts.calls },
        { provide: PROGRAM_REQUESTS, useValue: parts.programs },
        { provide: ADMISSION, useValue: parts.admission },
        { provide: READINESS, useValue: parts.readiness },
        { provide: OPERATOR_DESK, useValue: parts.operator },
      ],
    };
  }
}
