/** @fileoverview Types of the authentication of tenants. */

import type {Route, Tenant} from '../workspace/types.js';

/** Whether a request may be routed, and on whose behalf. */
export type Authentication =
  /** Its API key belongs to this tenant; null: it needs no key and has none. */
  | {readonly kind: 'accepted'; readonly tenant: Tenant | null}
  /** It needs an API key and carries none that a tenant holds. */
  | {readonly kind: 'unauthenticated'};

/** The tenants of one configuration by their API keys. */
export interface TenantDirectory {
  /** Whether the configuration has tenants, so that requests carry keys. */
  readonly isUsed: boolean;
  /**
   * Authenticates a request.
   *
   * @param route - The route that the request matches.
   * @param apiKey - The API key that it carries, or null.
   */
  authenticate(
    route: Pick<Route, 'public'>,
    apiKey: string | null,
  ): Authentication;
}
