import {TableService} from './table_service.js';

/** Notices that a table was restored from a copy, so that its latest rows may be lost. */
export class RestorationWatch {
  private era: number | undefined;

  constructor(private readonly table: Pick<TableService, 'getEra'>) {
    this.era = table.getEra();
  }

  /**
   * Returns whether the table was restored since the last call. The first era that becomes
   * known is no restoration.
   */
  hasRestored(): boolean {
    const before = this.era;
    this.era = this.table.getEra();
    return before !== undefined && this.era !== before;
  }
}
