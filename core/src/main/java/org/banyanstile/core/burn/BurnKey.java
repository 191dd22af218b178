package org.banyanstile.core.burn;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.TeamId;

/**
 * Series of the error budget.
 *
 * @param team the team
 * @param route the model or service route
 * @param dataCentre the data centre that served the request
 * @author banyanstile contributors
 */
public record BurnKey(TeamId team, String route, DataCentreId dataCentre) {
}
